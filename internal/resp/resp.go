// Package resp reads and writes what brokers and engines say to each other: RESP arrays of bulk strings. It
// works on bytes and does no I/O; a message that is not whole yet takes no bytes.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Errors of a message. Each costs the connection it came on and nothing else.
var (
	ErrMalformed = errors.New("resp: malformed message")
	ErrTooLarge  = errors.New("resp: message too large")
)

const (
	mostParts = 8
	mostBulk  = 64 << 10
	// mostFigure is more than any work in milliseconds, memory in MB or load that an answer can tell.
	mostFigure = 1e9
	// MaxMessage bounds a message, so that a buffer of this size always holds a whole one or shows an error.
	MaxMessage = 96 << 10
)

// Append adds a message of these parts to dst.
func Append(dst []byte, parts ...string) []byte {
	dst = strconv.AppendInt(append(dst, '*'), int64(len(parts)), 10)
	for _, p := range parts {
		dst = strconv.AppendInt(append(dst, "\r\n$"...), int64(len(p)), 10)
		dst = append(append(dst, "\r\n"...), p...)
	}
	return append(dst, "\r\n"...)
}

// Parse reads a message from the front of b: its parts, which point into b, and the bytes it took, 0 while
// it is not whole.
func Parse(b []byte) (parts [][]byte, n int, err error) {
	count, n, err := header(b, '*', mostParts)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	parts = make([][]byte, 0, count)
	for range count {
		size, k, err := header(b[n:], '$', mostBulk)
		if k == 0 || err != nil {
			return nil, 0, err
		}
		n += k
		if n+size > MaxMessage {
			return nil, 0, ErrTooLarge
		}
		if len(b) < n+size+2 {
			return nil, 0, nil
		}
		if b[n+size] != '\r' || b[n+size+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: a bulk string does not end where it says", ErrMalformed)
		}
		parts = append(parts, b[n:n+size])
		n += size + 2
	}
	return parts, n, nil
}

// header reads a mark, a length and a line end; n is 0 while they are not whole.
func header(b []byte, mark byte, most int) (length, n int, err error) {
	const digits = 10
	if len(b) > 0 && b[0] != mark {
		return 0, 0, fmt.Errorf("%w: %q where %q belongs", ErrMalformed, b[0], mark)
	}
	end := bytes.Index(b[:min(len(b), digits+3)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= digits+3 {
			return 0, 0, fmt.Errorf("%w: a length without end", ErrMalformed)
		}
		return 0, 0, nil
	}
	for _, d := range b[1:end] {
		if d < '0' || d > '9' {
			return 0, 0, fmt.Errorf("%w: length %q", ErrMalformed, b[1:end])
		}
		length = length*10 + int(d-'0')
	}
	if end == 1 {
		return 0, 0, fmt.Errorf("%w: a length without digits", ErrMalformed)
	}
	if length > most {
		return 0, 0, fmt.Errorf("%w: length %d", ErrTooLarge, length)
	}
	return length, end + 2, nil
}

// Word is what an answer says.
type Word int

// The words of an answer.
const (
	OK Word = iota + 1
	Busy
	Err
	Void
	Rows
	Up
	Down
)

var words = map[string]Word{"OK": OK, "BUSY": Busy, "ERR": Err, "VOID": Void, "ROWS": Rows, "UP": Up, "DOWN": Down}

// Answer is a message of an engine.
type Answer struct {
	RequestID string
	Word      Word
	PageCount int     // pages of the result, with OK
	Page      int     // number of the page, with Rows
	WorkMS    float64 // work done
	MemoryMB  float64 // memory needed
	Load      string  // load report, unread
	Body      []byte  // points into the message
}

// ParseAnswer reads an answer from the parts of a message. Fields that it does not know are passed over.
func ParseAnswer(parts [][]byte) (Answer, error) {
	if len(parts) < 2 || len(parts) > 4 {
		return Answer{}, fmt.Errorf("%w: an answer of %d parts", ErrMalformed, len(parts))
	}
	a := Answer{RequestID: string(parts[0]), Word: words[string(parts[1])], PageCount: 1}
	if a.Word == 0 {
		return a, fmt.Errorf("%w: unknown word %.20q", ErrMalformed, parts[1])
	}
	if len(parts) > 3 {
		a.Body = parts[3]
	}
	if len(parts) < 3 || string(parts[2]) == "-" || len(parts[2]) == 0 {
		return a, nil
	}
	for field := range strings.SplitSeq(string(parts[2]), ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return a, fmt.Errorf("%w: field %.40q", ErrMalformed, field)
		}
		var err error
		switch name {
		case "sheets":
			a.PageCount, err = strconv.Atoi(value)
		case "sheet":
			a.Page, err = strconv.Atoi(value)
		case "toil":
			a.WorkMS, err = figure(value)
		case "room":
			a.MemoryMB, err = figure(value)
		case "l":
			a.Load = value
		}
		if err != nil {
			return a, fmt.Errorf("%w: field %.40q", ErrMalformed, field)
		}
	}
	return a, nil
}

// figure reads a number that can be reckoned with. Guards against a spoilt answer from which nonsense would be
// learned for good, as NaN spreads to every mean that it goes into.
func figure(value string) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err == nil && !(v >= 0 && v <= mostFigure) {
		err = fmt.Errorf("%w: figure %.20q", ErrMalformed, value)
	}
	return v, err
}

// Report reads a load report into the order of the fields that the settings name; nil if one is missing.
func Report(load string, fields []string) []float64 {
	if load == "" {
		return nil
	}
	row := make([]float64, 0, len(fields))
	for _, f := range fields {
		for part := range strings.SplitSeq(load, ";") {
			if name, value, _ := strings.Cut(part, ":"); name == f {
				v, err := figure(value)
				if err != nil {
					return nil
				}
				row = append(row, v)
				break
			}
		}
	}
	if len(row) != len(fields) {
		return nil
	}
	return row
}
