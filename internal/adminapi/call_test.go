package adminapi

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		want Call
		err  error
	}{
		{"check", Call{Verb: Check}, nil},
		{"vars\r", Call{Verb: Vars}, nil},
		{"  set-down  e-17 ", Call{Verb: SetDown, ID: "e-17"}, nil},
		{"set-up\te-17", Call{Verb: SetUp, ID: "e-17"}, nil},
		{"", Call{}, ErrEmpty},
		{"   ", Call{}, ErrEmpty},
		{"status", Call{}, ErrUnknown},
		{"CHECK", Call{}, ErrUnknown},
		{"set-down", Call{}, ErrMissingID},
		{"set-up ", Call{}, ErrMissingID},
		{"set-down a b", Call{}, ErrExtra},
		{"check now", Call{}, ErrExtra},
		{"vars all", Call{}, ErrExtra},
		{"set-down \xff\xfe", Call{}, ErrNotUTF8},
		{strings.Repeat("x", MaxLine), Call{}, ErrTooLong},
	} {
		got, err := Parse([]byte(c.line))
		if !errors.Is(err, c.err) || err == nil && c.err != nil {
			t.Errorf("%q: error %v, want %v", c.line, err, c.err)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%q: %s", c.line, diff)
		}
		if err != nil && Reason(err) != c.err.Error() {
			t.Errorf("%q: reason %q", c.line, Reason(err))
		}
	}
}

// However the bytes of a connection are split, the line and its verdict are the same, and nothing panics.
func TestLinerSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab \n\r\xffset-downcheck")), 0, 2*MaxLine).Draw(t, "text")
		whole, wholeOK, wholeErr := feedAll(&Liner{}, [][]byte{text})
		var parts [][]byte
		for rest := text; len(rest) > 0; {
			k := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			parts, rest = append(parts, rest[:k]), rest[k:]
		}
		line, ok, err := feedAll(&Liner{}, parts)
		if string(line) != string(whole) || ok != wholeOK || !errors.Is(err, wholeErr) {
			t.Fatalf("split %q: %q %v %v, whole: %q %v %v", parts, line, ok, err, whole, wholeOK, wholeErr)
		}
		if ok {
			Parse(line) //nolint:errcheck // only that it does not panic
		}
	})
}

func feedAll(l *Liner, parts [][]byte) ([]byte, bool, error) {
	for _, p := range parts {
		line, whole, err := l.Feed(p)
		if err != nil {
			return nil, false, ErrTooLong
		}
		if whole {
			return line, true, nil
		}
	}
	return nil, false, nil
}
