// Package changelog reads what the change log says: HTTP/1.1 responses to a long poll, and the JSON page in
// them, which is also the form of the list known at a broker's start. It works on bytes and does no I/O.
package changelog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"wheatlane/control"
)

// Errors of a response. Each costs the connection it came on and nothing else.
var (
	ErrMalformed = errors.New("changelog: malformed response")
	ErrTooLarge  = errors.New("changelog: response too large")
	ErrStatus    = errors.New("changelog: status is not 200")
)

const (
	mostHead = 16 << 10
	// MaxBody is the largest body taken; a list of thousands of engines is smaller.
	MaxBody = 4 << 20
)

// Endpoint is an engine as the change log lists it.
type Endpoint struct {
	control.Engine
	Addr string // where it listens
}

// Change is one event of the change log.
type Change struct {
	Revision  int64
	Snapshot  bool // Hosts is the whole list
	Endpoints []Endpoint
}

// Page is an answer of the change log.
type Page struct {
	Revision int64
	Changes  []Change
}

var states = map[string]control.EngineState{
	"in_service": control.Ready, "terminating": control.Draining, "terminated": control.Removed}

// ParsePage reads a page. Events of kinds that it does not know are passed over.
func ParsePage(text []byte) (Page, error) {
	var in struct {
		Seq     int64 `json:"seq"`
		Results []struct {
			Seq   int64 `json:"seq"`
			Fleet *struct {
				Whole bool `json:"whole"`
				Hosts []struct {
					Host   string  `json:"host"`
					Dial   string  `json:"dial"`
					Site   string  `json:"site"`
					Class  string  `json:"class"`
					Health string  `json:"health"`
					Block  int     `json:"block"`
					BornMs float64 `json:"born_ms"`
				} `json:"hosts"`
			} `json:"fleet"`
		} `json:"results"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Page{}, fmt.Errorf("%s: a JSON %s does not belong here", wrong.Field, wrong.Value)
		}
		return Page{}, fmt.Errorf("page: %w", err)
	}
	p := Page{Revision: in.Seq}
	for i, r := range in.Results {
		if r.Fleet == nil {
			continue
		}
		c := Change{Revision: r.Seq, Snapshot: r.Fleet.Whole}
		for j, h := range r.Fleet.Hosts {
			key := fmt.Sprintf("results[%d].fleet.hosts[%d]", i, j)
			state, ok := states[h.Health]
			if !ok {
				return Page{}, fmt.Errorf("%s.health: unknown state %q", key, h.Health)
			}
			if h.Host == "" {
				return Page{}, fmt.Errorf("%s.host: missing", key)
			}
			if _, err := netip.ParseAddrPort(h.Dial); err != nil && state != control.Removed {
				return Page{}, fmt.Errorf("%s.dial: %w", key, err)
			}
			c.Endpoints = append(c.Endpoints, Endpoint{Addr: h.Dial, Engine: control.Engine{ID: h.Host, Zone: h.Site, Kind: h.Class,
				Cell: h.Block, State: state, StartedAt: time.Duration(h.BornMs) * time.Millisecond}})
		}
		p.Changes = append(p.Changes, c)
	}
	return p, nil
}

// Request is the long poll for what comes after since.
func Request(host string, since int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
		since, wait.Milliseconds(), host)
}

// Response is a whole HTTP response.
type Response struct {
	Body  []byte
	Close bool // the connection ends with it
}

// ParseResponse reads a response from the front of b. It returns the number of bytes it took, 0 while the
// response is not whole yet.
func ParseResponse(b []byte) (Response, int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > mostHead {
			return Response{}, 0, ErrTooLarge
		}
		return Response{}, 0, nil
	}
	if end > mostHead {
		return Response{}, 0, ErrTooLarge
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	version, status, _ := strings.Cut(lines[0], " ")
	if !strings.HasPrefix(version, "HTTP/1.") || len(status) < 3 {
		return Response{}, 0, fmt.Errorf("%w: %.40q", ErrMalformed, lines[0])
	}
	if status[:3] != "200" {
		return Response{}, 0, fmt.Errorf("%w: %.40q", ErrStatus, status)
	}
	r := Response{Close: version == "HTTP/1.0"}
	size, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return Response{}, 0, fmt.Errorf("%w: header %.40q", ErrMalformed, line)
		}
		value = strings.ToLower(strings.TrimSpace(value))
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 32)
			if err != nil || size >= 0 && size != int(n) {
				return Response{}, 0, fmt.Errorf("%w: Content-Length %.40q", ErrMalformed, value)
			}
			size = int(n)
		case "transfer-encoding":
			if chunked = value == "chunked"; !chunked {
				return Response{}, 0, fmt.Errorf("%w: Transfer-Encoding %.40q", ErrMalformed, value)
			}
		case "connection":
			r.Close = r.Close || value == "close"
		}
	}
	head := end + 4
	if chunked {
		body, n, err := chunks(b[head:])
		if n == 0 || err != nil {
			return Response{}, 0, err
		}
		r.Body = body
		return r, head + n, nil
	}
	switch {
	case size < 0:
		return Response{}, 0, fmt.Errorf("%w: no length", ErrMalformed)
	case size > MaxBody:
		return Response{}, 0, ErrTooLarge
	case len(b) < head+size:
		return Response{}, 0, nil
	}
	r.Body = bytes.Clone(b[head : head+size])
	return r, head + size, nil
}

// chunks reads a chunked body; n is 0 while it is not whole.
func chunks(b []byte) (body []byte, n int, err error) {
	for {
		line, _, ok := bytes.Cut(b[n:], []byte("\r\n"))
		if !ok {
			if len(b)-n > 1<<10 {
				return nil, 0, fmt.Errorf("%w: chunk size", ErrMalformed)
			}
			return nil, 0, nil
		}
		digits, _, _ := strings.Cut(string(line), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: chunk size %.20q", ErrMalformed, digits)
		}
		if n += len(line) + 2; size == 0 { // trailers, if any, end with an empty line
			for {
				line, _, ok := bytes.Cut(b[n:], []byte("\r\n"))
				if !ok {
					return nil, 0, nil
				}
				if n += len(line) + 2; len(line) == 0 {
					return body, n, nil
				}
			}
		}
		if len(body)+int(size) > MaxBody {
			return nil, 0, ErrTooLarge
		}
		if len(b) < n+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, b[n:n+int(size)]...)
		if n += int(size); string(b[n:n+2]) != "\r\n" {
			return nil, 0, fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		n += 2
	}
}
