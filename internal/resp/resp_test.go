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
		"answer":             {"*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n", []string{"7", "OK", "-", ""}, nil},
		"body with ends":     {"*1\r\n$6\r\na\r\nb\r\n\r\n", []string{"a\r\nb\r\n"}, nil},
		"no array":           {"+OK\r\n", nil, ErrMalformed},
		"no bulk":            {"*1\r\n:1\r\n", nil, ErrMalformed},
		"null":               {"*1\r\n$-1\r\n", nil, ErrMalformed},
		"no digits":          {"*\r\n", nil, ErrMalformed},
		"length without end": {"*1111111111111", nil, ErrMalformed},
		"too many parts":     {"*9\r\n", nil, ErrTooLarge},
		"too long":           {"*1\r\n$65537\r\n", nil, ErrTooLarge},
		"wrong length":       {"*1\r\n$1\r\nabc\r\n", nil, ErrMalformed},
		"too long in all":    {"*2\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n$60000\r\n", nil, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range min(len(c.in), 64) { // a part of it is incomplete, or an error already
				if _, n, err := Parse([]byte(c.in[:cut])); n != 0 || err != nil && !errors.Is(err, c.err) {
					t.Fatalf("cut at %d: %d bytes, %v", cut, n, err)
				}
			}
			beginningOfNext := "*1"[:min(2, 2*len(c.want))]
			parts, n, err := Parse([]byte(c.in + beginningOfNext))
			if !errors.Is(err, c.err) {
				t.Fatalf("got %v, want %v", err, c.err)
			}
			got := asStrings(parts)
			if diff := cmp.Diff(c.want, got); diff != "" || err == nil && n != len(c.in) {
				t.Fatalf("%d bytes of %d\n%s", n, len(c.in), diff)
			}
			if encoded := Append(nil, got...); err == nil && string(encoded) != c.in {
				t.Fatalf("encoded again: %q", encoded)
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

// No parser panics, whatever an engine sends.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if parts, _, err := Parse(b); err == nil {
			_, _ = ParseResponse(parts) // only whether it returns is tested here
		}
	})
}
