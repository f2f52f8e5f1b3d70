// Package admin is the broker's second address, where on-call staff ask it things: one line a connection,
// answered by one line that starts with ACK or NAK, and for vars by the figures and a line "--". Call reads and
// checks a call without I/O; Server holds the listener.
package adminapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"unicode/utf8"
)

// MaxLine is the longest call that is read, its line feed included, in bytes.
const MaxLine = 256

// Verb is what a call asks.
type Verb string

// The calls.
const (
	Check   Verb = "check"    // whether this process is ready to serve
	Vars    Verb = "vars"     // the figures, then a line "--"
	SetDown Verb = "set-down" // leave an engine out, by its id
	SetUp   Verb = "set-up"   // an engine may serve again
)

// takesID tells the calls that name an engine.
var takesID = map[Verb]bool{Check: false, Vars: false, SetDown: true, SetUp: true}

// Call is one call, read and checked.
type Call struct {
	Verb Verb
	ID   string // the engine, for set-down and set-up
}

// The errors of calls that can't be taken. Each is a reason of the NAK that answers it.
var (
	ErrEmpty     = errors.New("empty")
	ErrTooLong   = errors.New("too_long")
	ErrNotUTF8   = errors.New("not_utf8")
	ErrUnknown   = errors.New("unknown_call")
	ErrMissingID = errors.New("missing_argument")
	ErrExtra     = errors.New("extra_argument")
)

// Reason is the word of a NAK for an error of Parse or of carrying a call out; a call that ran out of time is busy.
func Reason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrBusy.Error()
	}
	for _, e := range []error{ErrEmpty, ErrTooLong, ErrNotUTF8, ErrUnknown, ErrMissingID, ErrExtra, ErrNotListed, ErrBusy} {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	return "failed"
}

// Parse reads one line, without its line feed; a carriage return before it is passed over. Words are split by
// spaces and tabs. The error is one of those above, wrapped with what was wrong.
func Parse(line []byte) (Call, error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case len(line) >= MaxLine:
		return Call{}, fmt.Errorf("%w: over %d bytes", ErrTooLong, MaxLine-1)
	case !utf8.Valid(line):
		return Call{}, ErrNotUTF8
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Call{}, ErrEmpty
	}
	verb := Verb(words[0])
	id, known := takesID[verb]
	switch {
	case !known:
		return Call{}, fmt.Errorf("%w: %q", ErrUnknown, truncate(words[0]))
	case id && len(words) < 2:
		return Call{}, fmt.Errorf("%w: %s takes an engine's id", ErrMissingID, verb)
	case id && len(words) > 2, !id && len(words) > 1:
		return Call{}, fmt.Errorf("%w: %s takes %s", ErrExtra, verb, map[bool]string{true: "one id", false: "no argument"}[id])
	}
	c := Call{Verb: verb}
	if id {
		c.ID = string(words[1])
	}
	return c, nil
}

// truncate keeps an echo of what was sent short.
func truncate(word []byte) []byte {
	const most = 32
	if len(word) > most {
		return word[:most]
	}
	return word
}

// Liner gathers the bytes of a connection into its first line, however they are split.
type Liner struct {
	buf  []byte
	done bool
}

// Feed takes more bytes. It returns the line, without its line feed, once it is whole; ErrTooLong once MaxLine bytes
// came without one. After either, it takes nothing more.
func (l *Liner) Feed(p []byte) (line []byte, whole bool, err error) {
	if l.done {
		return nil, false, nil
	}
	if i := bytes.IndexByte(p, '\n'); i >= 0 && len(l.buf)+i < MaxLine {
		l.done = true
		return append(l.buf, p[:i]...), true, nil
	}
	l.buf = append(l.buf, p[:min(len(p), MaxLine-len(l.buf))]...)
	if len(l.buf) >= MaxLine {
		l.done = true
		return nil, false, fmt.Errorf("%w: no line feed in %d bytes", ErrTooLong, MaxLine)
	}
	return nil, false, nil
}
