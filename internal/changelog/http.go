package changelog

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Errors of a response. Each ends the connection that the response was received on.
var (
	ErrMalformed = errors.New("changelog: malformed response")
	ErrTooLarge  = errors.New("changelog: response too large")
	ErrStatus    = errors.New("changelog: status is not 200")
)

const (
	// MaxBody is the maximum length of a response body in bytes. A list of thousands of engines is shorter.
	MaxBody = 4 << 20

	maxHead      = 16 << 10 // maximum length of status line and headers in bytes
	maxChunkLine = 1 << 10  // maximum length of a chunk size line in bytes
)

// Parts of a response.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd

	protocolPrefix = "HTTP/1."
	protocol10     = "HTTP/1.0"
	statusOK       = "200"

	headerContentLength    = "content-length"
	headerTransferEncoding = "transfer-encoding"
	headerConnection       = "connection"
	encodingChunked        = "chunked"
	connectionClose        = "close"
)

// PollRequest returns a long-poll request for the changes after a revision. The change log responds within wait.
func PollRequest(host string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil,
		"GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
		revision, wait.Milliseconds(), host)
}

// Response is a complete HTTP response with status 200.
type Response struct {
	Body  []byte // may be a part of the parsed bytes
	Close bool   // the connection closes after the response
}

// ParseResponse parses the response at the start of b. It returns the length of the response in bytes, 0 while it is
// incomplete. Its error wraps ErrMalformed, ErrTooLarge or ErrStatus.
func ParseResponse(b []byte) (Response, int, error) {
	head, start, err := parseResponseHead(b)
	if start == 0 || err != nil {
		return Response{}, 0, err
	}
	body, n, err := head.parseBody(b[start:])
	if body == nil || err != nil {
		return Response{}, 0, err
	}
	return Response{Body: body, Close: head.close}, start + n, nil
}

// ResponseLength returns the length of the response that begins with b, 0 while b does not tell it.
func ResponseLength(b []byte) int {
	head, start, err := parseResponseHead(b)
	if start == 0 || err != nil || head.chunked || head.length == noLength {
		return 0
	}
	return start + head.length
}

// parseResponseHead parses the head of the response at the start of b. It returns the start of the body, 0 while the
// head is incomplete.
func parseResponseHead(b []byte) (head responseHead, start int, err error) {
	end := bytes.Index(b, []byte(headEnd))
	if end > maxHead || end < 0 && len(b) > maxHead {
		return head, 0, ErrTooLarge
	}
	if end < 0 {
		return head, 0, nil
	}
	if head, err = parseHead(string(b[:end])); err != nil {
		return head, 0, err
	}
	return head, end + len(headEnd), nil
}

// noLength is the body length of a response without Content-Length.
const noLength = -1

// responseHead holds the properties of a response that its status line and headers specify.
type responseHead struct {
	length  int  // of the body in bytes, or noLength
	chunked bool // the body has chunked transfer encoding
	close   bool // the connection closes after the response
}

// parseHead parses the status line and the headers. text ends before the empty line that follows them.
func parseHead(text string) (responseHead, error) {
	lines := strings.Split(text, lineEnd)
	version, status, _ := strings.Cut(lines[0], " ")
	if !strings.HasPrefix(version, protocolPrefix) || len(status) < len(statusOK) {
		return responseHead{}, fmt.Errorf("%w: status line %.40q", ErrMalformed, lines[0])
	}
	if status[:len(statusOK)] != statusOK {
		return responseHead{}, fmt.Errorf("%w: %.40q", ErrStatus, status)
	}
	head := responseHead{length: noLength, close: version == protocol10}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return responseHead{}, fmt.Errorf("%w: header %.40q", ErrMalformed, line)
		}
		if err := head.setHeader(strings.ToLower(name), strings.ToLower(strings.TrimSpace(value))); err != nil {
			return responseHead{}, err
		}
	}
	return head, nil
}

// setHeader parses one header. name and value are in lower case.
func (h *responseHead) setHeader(name, value string) error {
	switch name {
	case headerContentLength:
		length, err := strconv.ParseUint(value, 10, 32)
		if err != nil || h.length != noLength && h.length != int(length) {
			return fmt.Errorf("%w: Content-Length %.40q", ErrMalformed, value)
		}
		h.length = int(length)
	case headerTransferEncoding:
		if value != encodingChunked {
			return fmt.Errorf("%w: Transfer-Encoding %.40q", ErrMalformed, value)
		}
		h.chunked = true
	case headerConnection:
		h.close = h.close || value == connectionClose
	}
	return nil
}

// parseBody returns the body and its length on the wire in bytes. The body is nil while it is incomplete.
func (h *responseHead) parseBody(b []byte) (body []byte, n int, err error) {
	if h.chunked {
		return parseChunkedBody(b)
	}
	return parseSizedBody(b, h.length)
}

// parseSizedBody parses a body of the given length, which is a part of b. The body is nil while it is incomplete.
func parseSizedBody(b []byte, length int) (body []byte, n int, err error) {
	switch {
	case length == noLength:
		return nil, 0, fmt.Errorf("%w: no Content-Length", ErrMalformed)
	case length > MaxBody:
		return nil, 0, ErrTooLarge
	case len(b) < length:
		return nil, 0, nil
	}
	return b[:length:length], length, nil
}

// parseChunkedBody parses a body with chunked transfer encoding. The body is nil while it is incomplete.
func parseChunkedBody(b []byte) (body []byte, n int, err error) {
	length := 0
	n, err = eachChunk(b, func(chunk []byte) { length += len(chunk) })
	if n == 0 || err != nil {
		return nil, 0, err
	}
	body = make([]byte, 0, length)
	_, _ = eachChunk(b, func(chunk []byte) { body = append(body, chunk...) }) // as above
	return body, n, nil
}

// eachChunk calls visit with each chunk of a chunked body and returns the length of the body on the wire in bytes, 0
// while it is incomplete.
func eachChunk(b []byte, visit func(chunk []byte)) (n int, err error) {
	total := 0
	for {
		size, lineLen, err := parseChunkLine(b[n:])
		if lineLen == 0 || err != nil {
			return 0, err
		}
		n += lineLen
		if size == 0 {
			trailerLen := trailerLength(b[n:])
			if trailerLen == 0 {
				return 0, nil
			}
			return n + trailerLen, nil
		}
		if total += size; total > MaxBody {
			return 0, ErrTooLarge
		}
		end := n + size
		if len(b) < end+len(lineEnd) {
			return 0, nil
		}
		if string(b[end:end+len(lineEnd)]) != lineEnd {
			return 0, fmt.Errorf("%w: chunk longer than its size", ErrMalformed)
		}
		visit(b[n:end])
		n = end + len(lineEnd)
	}
}

// parseChunkLine parses the line with the size of a chunk. n is the length of the line in bytes, 0 while it is
// incomplete.
func parseChunkLine(b []byte) (size, n int, err error) {
	line, _, ok := bytes.Cut(b, []byte(lineEnd))
	if !ok {
		if len(b) > maxChunkLine {
			return 0, 0, fmt.Errorf("%w: chunk size line over %d bytes", ErrMalformed, maxChunkLine)
		}
		return 0, 0, nil
	}
	digits, _, _ := strings.Cut(string(line), ";") // chunk extensions follow
	parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
	if err != nil {
		return 0, 0, fmt.Errorf("%w: chunk size %.20q", ErrMalformed, digits)
	}
	return int(parsed), len(line) + len(lineEnd), nil
}

// trailerLength returns the length of the trailers after the last chunk, including the empty line that ends them, or 0
// while they are incomplete.
func trailerLength(b []byte) int {
	n := 0
	for {
		line, _, ok := bytes.Cut(b[n:], []byte(lineEnd))
		if !ok {
			return 0
		}
		n += len(line) + len(lineEnd)
		if len(line) == 0 {
			return n
		}
	}
}
