package adminapi

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		want Call
		err  error
	}{
		"check":                  {"check", Call{Verb: VerbCheck}, nil},
		"vars, carriage return":  {"vars\r", Call{Verb: VerbVars}, nil},
		"set-down, spaces":       {"  set-down  e-17 ", Call{Verb: VerbStartMaintenance, ID: "e-17"}, nil},
		"set-up, tab":            {"set-up\te-17", Call{Verb: VerbEndMaintenance, ID: "e-17"}, nil},
		"empty line":             {"", Call{}, ErrEmpty},
		"only spaces":            {"   ", Call{}, ErrEmpty},
		"unknown call":           {"status", Call{}, ErrUnknownCall},
		"upper case":             {"CHECK", Call{}, ErrUnknownCall},
		"set-down without id":    {"set-down", Call{}, ErrMissingID},
		"set-up without id":      {"set-up ", Call{}, ErrMissingID},
		"set-down with two ids":  {"set-down a b", Call{}, ErrExtraArgument},
		"check with an argument": {"check now", Call{}, ErrExtraArgument},
		"vars with an argument":  {"vars all", Call{}, ErrExtraArgument},
		"invalid UTF-8":          {"set-down \xff\xfe", Call{}, ErrNotUTF8},
		"too long":               {strings.Repeat("x", MaxLineBytes), Call{}, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse([]byte(c.line))
			if !errors.Is(err, c.err) || err == nil && c.err != nil {
				t.Errorf("error %v, want %v", err, c.err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("call differs (-want +got):\n%s", diff)
			}
			if err != nil && Reason(err) != c.err.Error() {
				t.Errorf("reason %q, want %q", Reason(err), c.err)
			}
		})
	}
}
