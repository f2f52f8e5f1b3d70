package changelog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

func TestParseResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		in   string
		want Response
		err  error
	}{
		"length":       {head + "Content-Length: 2\r\n\r\n{}", Response{Body: []byte("{}")}, nil},
		"close":        {head + "content-length: 2\r\nconnection: Close\r\n\r\n{}", Response{Body: []byte("{}"), Close: true}, nil},
		"old version":  {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", Response{Body: []byte{}, Close: true}, nil},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n1\r\n}\r\n0\r\nT: v\r\n\r\n", Response{Body: []byte("{}")}, nil},
		"status":       {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Response{}, ErrStatus},
		"not HTTP":     {"SSH-2.0-x\r\n\r\n", Response{}, ErrMalformed},
		"no length":    {head + "\r\n", Response{}, ErrMalformed},
		"odd length":   {head + "Content-Length: -2\r\n\r\n", Response{}, ErrMalformed},
		"two lengths":  {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", Response{}, ErrMalformed},
		"odd coding":   {head + "Transfer-Encoding: gzip\r\n\r\n", Response{}, ErrMalformed},
		"odd header":   {head + "nonsense\r\n\r\n", Response{}, ErrMalformed},
		"odd chunk":    {head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", Response{}, ErrMalformed},
		"chunk end":    {head + "Transfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n", Response{}, ErrMalformed},
		"large":        {head + "Content-Length: 99999999\r\n\r\n", Response{}, ErrTooLarge},
		"large chunks": {head + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", Response{}, ErrTooLarge},
		"endless head": {"HTTP/1.1 200 " + strings.Repeat("x", mostHead+1), Response{}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range min(len(c.in), 256) {
				if _, n, err := ParseResponse([]byte(c.in[:cut])); n != 0 || err != nil && !errors.Is(err, c.err) {
					t.Fatalf("cut at %d: %d bytes, %v", cut, n, err)
				}
			}
			got, n, err := ParseResponse([]byte(c.in))
			if !errors.Is(err, c.err) || err == nil && n != len(c.in) {
				t.Fatalf("%d bytes of %d, %v", n, len(c.in), err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestParsePage(t *testing.T) {
	text := `{"seq":43,"results":[{"seq":41,"fleet":{"seq":7,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.9:6565",
		"site":"east","class":"std","block":2,"health":"%s","share":4,"born_ms":1500}]}},{"seq":42,"other":{}}]}`
	want := Page{Revision: 43, Changes: []Change{{Revision: 41, Snapshot: true, Endpoints: []Endpoint{{Addr: "10.1.0.9:6565",
		Engine: control.Engine{ID: "s-1", Zone: "east", Kind: "std", Cell: 2, State: control.Draining,
			StartedAt: 1500 * time.Millisecond}}}}}}
	got, err := ParsePage(fmt.Appendf(nil, text, "terminating"))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	for in, part := range map[string]string{
		fmt.Sprintf(text, "ill"): "results[0].fleet.hosts[0].health",
		`{"results":[{"fleet":{"hosts":[{"health":"in_service"}]}}]}`:            "hosts[0].host",
		`{"results":[{"fleet":{"hosts":[{"host":"a","health":"in_service"}]}}]}`: "hosts[0].dial",
		`{"results":7}`: "results", `{`: "page",
	} {
		if _, err := ParsePage([]byte(in)); err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%s: got %v, want %q named", in, err, part)
		}
	}
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, _, err := ParseResponse(b); err == nil {
			ParsePage(r.Body)
		}
	})
}
