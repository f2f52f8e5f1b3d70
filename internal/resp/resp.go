// Package resp encodes and decodes the messages between brokers and engines: RESP arrays of bulk strings, and the
// responses and load reports that they contain. It works on bytes and does no I/O. It consumes no bytes of an
// incomplete message.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of a message. Each ends the connection that the message was received on, and affects nothing else.
var (
	ErrMalformed = errors.New("resp: malformed message")
	ErrTooLarge  = errors.New("resp: message too large")
)

// MaxMessage is the maximum length of a message in bytes. For a buffer of this size, Parse always returns a complete
// message or an error.
const MaxMessage = 96 << 10

const (
	maxParts        = 8        // of a message
	maxPartBytes    = 64 << 10 // of one part
	maxLengthDigits = 10

	arrayMark = '*'
	bulkMark  = '$'
	lineEnd   = "\r\n"
)

// Append appends a message with the given parts to dst.
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

// Parse parses the message at the start of buf. It returns the parts, which point into buf, and the size of the message
// in bytes, 0 while it is incomplete. Its error wraps ErrMalformed or ErrTooLarge.
func Parse(buf []byte) (parts [][]byte, size int, err error) {
	count, size, err := parseHeader(buf, arrayMark, maxParts)
	if size == 0 || err != nil {
		return nil, 0, err
	}
	parts = make([][]byte, 0, count)
	for range count {
		length, headerSize, err := parseHeader(buf[size:], bulkMark, maxPartBytes)
		if headerSize == 0 || err != nil {
			return nil, 0, err
		}
		begin := size + headerSize
		end := begin + length
		if end > MaxMessage {
			return nil, 0, ErrTooLarge
		}
		if len(buf) < end+len(lineEnd) {
			return nil, 0, nil
		}
		if string(buf[end:end+len(lineEnd)]) != lineEnd {
			return nil, 0, fmt.Errorf("%w: bulk string longer than its stated length", ErrMalformed)
		}
		parts = append(parts, buf[begin:end])
		size = end + len(lineEnd)
	}
	return parts, size, nil
}

// parseHeader parses a mark, a length of at most limit and a line end. size is the size of these in bytes, 0 while they
// are incomplete.
func parseHeader(buf []byte, mark byte, limit int) (length, size int, err error) {
	const maxHeaderBytes = 1 + maxLengthDigits + len(lineEnd)
	if len(buf) > 0 && buf[0] != mark {
		return 0, 0, fmt.Errorf("%w: got %q, want %q", ErrMalformed, buf[0], mark)
	}
	end := bytes.Index(buf[:min(len(buf), maxHeaderBytes)], []byte(lineEnd))
	if end < 0 {
		if len(buf) >= maxHeaderBytes {
			return 0, 0, fmt.Errorf("%w: length line not terminated", ErrMalformed)
		}
		return 0, 0, nil
	}
	for _, digit := range buf[1:end] {
		if digit < '0' || digit > '9' {
			return 0, 0, fmt.Errorf("%w: length %q is not a number", ErrMalformed, buf[1:end])
		}
		length = length*10 + int(digit-'0')
	}
	if end == 1 {
		return 0, 0, fmt.Errorf("%w: empty length", ErrMalformed)
	}
	if length > limit {
		return 0, 0, fmt.Errorf("%w: length %d exceeds %d", ErrTooLarge, length, limit)
	}
	return length, end + len(lineEnd), nil
}
