// Package ring holds a bounded ring buffer of bytes. A connection has one for each direction: it starts
// without memory, grows as bytes come, never beyond its limit, and gives its memory back when it is emptied.
package ring

import (
	"errors"
	"io"
)

// ErrFull says that what is to be added doesn't fit under the buffer's limit.
var ErrFull = errors.New("ring: buffer is full")

const (
	initialSize = 1 << 10 // bytes of the first allocation
	maxIdleSize = 4 << 10 // an empty buffer with more bytes of memory than this gives it back
)

// Buffer is a ring of bytes. It is not safe for concurrent use, with one exception: the slices of Segments
// stay readable while Write appends, as appending never touches what has not been discarded.
type Buffer struct {
	data   []byte
	start  int // index in data of the first byte held
	length int // number of bytes held
	limit  int // most bytes that may be held
}

// New returns an empty buffer that holds at most limit bytes.
func New(limit int) *Buffer { return &Buffer{limit: limit} }

// Len is the number of bytes held.
func (b *Buffer) Len() int { return b.length }

// Write appends all of p, or nothing and ErrFull.
func (b *Buffer) Write(p []byte) (int, error) {
	if err := b.grow(len(p)); err != nil {
		return 0, err
	}
	for rest := p; len(rest) > 0; {
		n := copy(b.free(), rest)
		b.length += n
		rest = rest[n:]
	}
	return len(p), nil
}

// ReadOnce appends what one Read of src gives. A full buffer reads nothing and returns ErrFull.
func (b *Buffer) ReadOnce(src io.Reader) (int, error) {
	if b.length == len(b.data) {
		if err := b.grow(1); err != nil {
			return 0, err
		}
	}
	n, err := src.Read(b.free())
	b.length += n
	return n, err
}

// Bytes returns all that is held as one slice, valid until the next call that changes the buffer.
func (b *Buffer) Bytes() []byte {
	if b.start+b.length > len(b.data) { // it wraps: one slice needs the bytes in one run
		b.reallocate(len(b.data))
	}
	return b.data[b.start : b.start+b.length]
}

// Segments returns what is held, in order, without moving it; the second is empty unless it wraps.
func (b *Buffer) Segments() (head, tail []byte) {
	end := b.start + b.length
	if end <= len(b.data) {
		return b.data[b.start:end], nil
	}
	return b.data[b.start:], b.data[:end-len(b.data)]
}

// Discard drops the first n bytes; n is at most Len.
func (b *Buffer) Discard(n int) {
	b.length -= n
	switch {
	case b.length > 0:
		b.start = (b.start + n) % len(b.data)
	case len(b.data) > maxIdleSize:
		b.data, b.start = nil, 0
	default:
		b.start = 0
	}
}

// free is the first run of bytes that nothing is held in.
func (b *Buffer) free() []byte {
	end := b.start + b.length
	if end >= len(b.data) {
		end -= len(b.data)
		return b.data[end:b.start]
	}
	return b.data[end:]
}

// grow makes room for n more bytes, by doubling.
func (b *Buffer) grow(n int) error {
	need := b.length + n
	if need <= len(b.data) {
		return nil
	}
	if need > b.limit {
		return ErrFull
	}
	size := max(initialSize, len(b.data))
	for size < need {
		size *= 2
	}
	b.reallocate(min(size, b.limit))
	return nil
}

// reallocate moves what is held to the front of size bytes of new memory.
func (b *Buffer) reallocate(size int) {
	data := make([]byte, size)
	head, tail := b.Segments()
	copy(data[copy(data, head):], tail)
	b.data, b.start = data, 0
}
