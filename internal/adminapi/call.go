// Package adminapi is the broker's admin endpoint, a second address for on-call staff: a caller sends one
// line on a connection and is answered by one line that starts with ACK or NAK, for vars by the figures and a
// line "--" behind it. Parse reads a call without I/O; Server holds the listener.
package adminapi

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// MaxLineBytes is the length of the longest call in bytes, its line feed included.
const MaxLineBytes = 256

// Verb names a call, as it stands on the wire.
type Verb string

// The calls.
const (
	VerbCheck            Verb = "check"    // whether this process is ready to serve
	VerbVars             Verb = "vars"     // the figures, then a line "--"
	VerbStartMaintenance Verb = "set-down" // put an engine, by its id, into maintenance mode
	VerbEndMaintenance   Verb = "set-up"   // end an engine's maintenance mode
)

// takesID holds for each call whether it names an engine.
var takesID = map[Verb]bool{
	VerbCheck:            false,
	VerbVars:             false,
	VerbStartMaintenance: true,
	VerbEndMaintenance:   true,
}

// Call is one call, read and checked.
type Call struct {
	Verb Verb
	ID   string // the engine's; empty where the call names none
}

// Parse reads one line, without its line feed; a carriage return at its end is passed over. Words are
// separated by blanks and tabs. The error wraps ErrTooLong, ErrNotUTF8, ErrEmpty, ErrUnknownCall, ErrMissingID or
// ErrExtraArgument.
func Parse(line []byte) (Call, error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case len(line) >= MaxLineBytes:
		return Call{}, fmt.Errorf("%w: over %d bytes", ErrTooLong, MaxLineBytes-1)
	case !utf8.Valid(line):
		return Call{}, ErrNotUTF8
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Call{}, ErrEmpty
	}
	verb, arguments := Verb(words[0]), words[1:]
	needsID, known := takesID[verb]
	switch {
	case !known:
		return Call{}, fmt.Errorf("%w: %q", ErrUnknownCall, truncate(words[0]))
	case needsID && len(arguments) == 0:
		return Call{}, fmt.Errorf("%w: %s takes an engine's id", ErrMissingID, verb)
	case needsID && len(arguments) > 1:
		return Call{}, fmt.Errorf("%w: %s takes one id", ErrExtraArgument, verb)
	case needsID:
		return Call{Verb: verb, ID: string(arguments[0])}, nil
	case len(arguments) > 0:
		return Call{}, fmt.Errorf("%w: %s takes no argument", ErrExtraArgument, verb)
	}
	return Call{Verb: verb}, nil
}

// truncate keeps the echo of what was sent short.
func truncate(word []byte) []byte {
	const maxEcho = 32
	return word[:min(len(word), maxEcho)]
}
