package changelog

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		in   string
		want Response
		err  error
	}{
		"content length": {head + "Content-Length: 2\r\n\r\n{}", Response{Body: []byte("{}")}, nil},
		"connection close": {
			head + "content-length: 2\r\nconnection: Close\r\n\r\n{}", Response{Body: []byte("{}"), Close: true}, nil,
		},
		"HTTP 1.0": {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", Response{Body: []byte{}, Close: true}, nil},
		"chunks": {
			head + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nT: v\r\n\r\n",
			Response{Body: []byte("{}")},
			nil,
		},
		"status not 200":             {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Response{}, ErrStatus},
		"not HTTP":                   {"SSH-2.0-x\r\n\r\n", Response{}, ErrMalformed},
		"no length":                  {head + "\r\n", Response{}, ErrMalformed},
		"negative length":            {head + "Content-Length: -2\r\n\r\n", Response{}, ErrMalformed},
		"conflicting lengths":        {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", Response{}, ErrMalformed},
		"unknown transfer encoding":  {head + "Transfer-Encoding: gzip\r\n\r\n", Response{}, ErrMalformed},
		"header without colon":       {head + "nonsense\r\n\r\n", Response{}, ErrMalformed},
		"chunk size not a number":    {head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", Response{}, ErrMalformed},
		"chunk longer than its size": {head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n", Response{}, ErrMalformed},
		"body too large":             {head + "Content-Length: 99999999\r\n\r\n", Response{}, ErrTooLarge},
		"chunks too large":           {head + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", Response{}, ErrTooLarge},
		"head too large":             {"HTTP/1.1 200 " + strings.Repeat("x", maxHead+1), Response{}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for prefixLen := range min(len(c.in), 256) {
				if _, n, err := ParseResponse([]byte(c.in[:prefixLen])); n != 0 || err != nil && !errors.Is(err, c.err) {
					t.Fatalf("prefix of %d bytes: got %d bytes, error %v, want 0 bytes, error nil or %v", prefixLen, n, err, c.err)
				}
			}
			got, n, err := ParseResponse([]byte(c.in))
			if !errors.Is(err, c.err) || err == nil && n != len(c.in) {
				t.Fatalf("got %d bytes, error %v, want %d bytes, error %v", n, err, len(c.in), c.err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// FuzzParseResponse guards against parsers that panic on malformed input from a change log.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if r, _, err := ParseResponse(b); err == nil {
			_, _ = ParsePage(r.Body) // the result does not matter: this test checks only for panics
		}
	})
}
