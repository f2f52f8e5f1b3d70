// Package adminapi implements the broker's admin endpoint, a separate address for operators. A caller sends one line
// on a connection and receives one line that starts with ACK or NAK; in the reply to vars, the metrics and a line
// "--" follow it. Parse parses a call without I/O; Server accepts connections and answers calls.
package adminapi

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// MaxLineBytes is the maximum length of a call, including its line feed.
const MaxLineBytes = 256

// Verb is the name of a call on the wire.
type Verb string

// The calls.
const (
	VerbCheck            Verb = "check"    // reports whether this process is ready to serve
	VerbVars             Verb = "vars"     // returns the metrics
	VerbStartMaintenance Verb = "set-down" // puts an engine, given by its id, into maintenance mode
	VerbEndMaintenance   Verb = "set-up"   // ends the maintenance mode of an engine
)

// requiresID maps each call to whether it requires an engine's id.
var requiresID = map[Verb]bool{
	VerbCheck:            false,
	VerbVars:             false,
	VerbStartMaintenance: true,
	VerbEndMaintenance:   true,
}

// Call is a valid call.
type Call struct {
	Verb Verb
	ID   string // the engine's id; empty if the call requires none
}

// Parse parses a line, given without its line feed; a carriage return at its end is ignored. Words are separated by
// white space. The error wraps ErrTooLong, ErrNotUTF8, ErrEmpty, ErrUnknownCall, ErrMissingID or ErrExtraArgument.
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
	needsID, known := requiresID[verb]
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

// truncate returns the start of a received word, so that replies that quote it stay short.
func truncate(word []byte) []byte {
	const maxQuotedBytes = 32
	return word[:min(len(word), maxQuotedBytes)]
}
