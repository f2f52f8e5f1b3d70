package resp

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want []string
		err  error
	}{
		"answer":              {"*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n", []string{"7", "OK", "-", ""}, nil},
		"line ends in body":   {"*1\r\n$6\r\na\r\nb\r\n\r\n", []string{"a\r\nb\r\n"}, nil},
		"not an array":        {"+OK\r\n", nil, ErrMalformed},
		"not a bulk string":   {"*1\r\n:1\r\n", nil, ErrMalformed},
		"null bulk string":    {"*1\r\n$-1\r\n", nil, ErrMalformed},
		"empty length":        {"*\r\n", nil, ErrMalformed},
		"unterminated length": {"*1111111111111", nil, ErrMalformed},
		"too many parts":      {"*9\r\n", nil, ErrTooLarge},
		"part too long":       {"*1\r\n$65537\r\n", nil, ErrTooLarge},
		"length too short":    {"*1\r\n$1\r\nabc\r\n", nil, ErrMalformed},
		"message too long":    {"*2\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n$60000\r\n", nil, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for prefixLen := range min(len(c.in), 64) { // a prefix is either incomplete or already invalid
				if _, n, err := Parse([]byte(c.in[:prefixLen])); n != 0 || err != nil && !errors.Is(err, c.err) {
					t.Fatalf("prefix of %d bytes: got %d bytes, error %v, want 0 bytes, error nil or %v", prefixLen, n, err, c.err)
				}
			}
			startOfNext := "*1"[:min(2, 2*len(c.want))]
			parts, n, err := Parse([]byte(c.in + startOfNext))
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			got := asStrings(parts)
			if diff := cmp.Diff(c.want, got); diff != "" || err == nil && n != len(c.in) {
				t.Fatalf("got %d bytes, want %d; parts (-want +got):\n%s", n, len(c.in), diff)
			}
			if encoded := Append(nil, got...); err == nil && string(encoded) != c.in {
				t.Fatalf("re-encoded as %q, want %q", encoded, c.in)
			}
		})
	}
}

func asStrings(parts [][]byte) []string {
	if parts == nil {
		return nil
	}
	out := make([]string, 0, len(parts))
	for _, part := range parts {
		out = append(out, string(part))
	}
	return out
}

// FuzzParse guards against parsers that panic on malformed input from an engine.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if parts, _, err := Parse(b); err == nil {
			_, _ = ParseResponse(parts) // the result does not matter: this test checks only for panics
		}
	})
}
