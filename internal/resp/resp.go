// Package resp encodes and decodes what brokers and engines send each other: RESP arrays of bulk strings, and
// the answers and load reports in them. It works on bytes and does no I/O; of an incomplete message it takes
// no bytes.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of a message. Each costs the connection it came on and nothing else.
var (
	ErrMalformed = errors.New("resp: malformed message")
	ErrTooLarge  = errors.New("resp: message too large")
)

// MaxMessage is the length of the longest message in bytes, so that a buffer of this size always holds a
// complete message or shows an error.
const MaxMessage = 96 << 10

const (
	maxParts     = 8
	maxPartBytes = 64 << 10
	maxDigits    = 10 // of a length

	arrayMark = '*'
	bulkMark  = '$'
	lineEnd   = "\r\n"
)

// Append adds a message of these parts to dst.
func Append(dst []byte, parts ...string) []byte {
	dst = strconv.AppendInt(append(dst, arrayMark), int64(len(parts)), 10)
	dst = append(dst, lineEnd...)
	for _, part := range parts {
		dst = strconv.AppendInt(append(dst, bulkMark), int64(len(part)), 10)
		dst = append(dst, lineEnd...)
		dst = append(dst, part...)
		dst = append(dst, lineEnd...)
	}
	return dst
}

// Parse reads a message from the front of b: its parts, which point into b, and the bytes it takes, 0 while
// it is incomplete. Its error is ErrMalformed or ErrTooLarge.
func Parse(b []byte) (parts [][]byte, n int, err error) {
	count, n, err := parseHeader(b, arrayMark, maxParts)
	if n == 0 || err != nil {
		return nil, 0, err
	}
	parts = make([][]byte, 0, count)
	for range count {
		size, headerLen, err := parseHeader(b[n:], bulkMark, maxPartBytes)
		if headerLen == 0 || err != nil {
			return nil, 0, err
		}
		n += headerLen
		end := n + size
		if end > MaxMessage {
			return nil, 0, ErrTooLarge
		}
		if len(b) < end+len(lineEnd) {
			return nil, 0, nil
		}
		if string(b[end:end+len(lineEnd)]) != lineEnd {
			return nil, 0, fmt.Errorf("%w: a bulk string does not end where it says", ErrMalformed)
		}
		parts = append(parts, b[n:end])
		n = end + len(lineEnd)
	}
	return parts, n, nil
}

// parseHeader reads a mark, a length of at most limit and a line end; n is 0 while they are incomplete.
func parseHeader(b []byte, mark byte, limit int) (length, n int, err error) {
	const maxHeader = 1 + maxDigits + len(lineEnd)
	if len(b) > 0 && b[0] != mark {
		return 0, 0, fmt.Errorf("%w: %q where %q belongs", ErrMalformed, b[0], mark)
	}
	end := bytes.Index(b[:min(len(b), maxHeader)], []byte(lineEnd))
	if end < 0 {
		if len(b) >= maxHeader {
			return 0, 0, fmt.Errorf("%w: a length without end", ErrMalformed)
		}
		return 0, 0, nil
	}
	for _, digit := range b[1:end] {
		if digit < '0' || digit > '9' {
			return 0, 0, fmt.Errorf("%w: length %q", ErrMalformed, b[1:end])
		}
		length = length*10 + int(digit-'0')
	}
	if end == 1 {
		return 0, 0, fmt.Errorf("%w: a length without digits", ErrMalformed)
	}
	if length > limit {
		return 0, 0, fmt.Errorf("%w: length %d", ErrTooLarge, length)
	}
	return length, end + len(lineEnd), nil
}
