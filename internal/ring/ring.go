// Package ring holds a bounded ring buffer. Each connection has one a direction: it starts empty, grows as
// bytes come, never beyond its cap, and gives its memory back when it is drained.
package ring

import (
	"errors"
	"io"
)

// ErrFull says that a buffer has reached its cap.
var ErrFull = errors.New("ring: buffer is full")

const (
	first = 1 << 10 // size of the first allocation
	keep  = 4 << 10 // an empty buffer larger than this is let go
)

// Buffer is a ring of bytes. It is not safe for concurrent use, with one exception: the slices of Segments
// stay readable while Write appends, as appending never touches what has not been discarded.
type Buffer struct {
	data []byte
	r, n int
	most int
}

// New returns a buffer that holds at most so many bytes.
func New(most int) *Buffer { return &Buffer{most: most} }

// Len is the number of bytes held.
func (b *Buffer) Len() int { return b.n }

// Write appends all of p, or nothing and ErrFull.
func (b *Buffer) Write(p []byte) (int, error) {
	if err := b.grow(len(p)); err != nil {
		return 0, err
	}
	for rest := p; len(rest) > 0; {
		n := copy(b.free(), rest)
		b.n += n
		rest = rest[n:]
	}
	return len(p), nil
}

// ReadOnce appends what one Read of src gives. A full buffer reads nothing and returns ErrFull.
func (b *Buffer) ReadOnce(src io.Reader) (int, error) {
	if b.n == len(b.data) {
		if err := b.grow(1); err != nil {
			return 0, err
		}
	}
	n, err := src.Read(b.free())
	b.n += n
	return n, err
}

// Bytes returns all that is held as one slice, valid until the next call that changes the buffer.
func (b *Buffer) Bytes() []byte {
	if b.r+b.n > len(b.data) { // wrapped: laid out anew
		b.move(len(b.data))
	}
	return b.data[b.r : b.r+b.n]
}

// Segments returns what is held, in order, without moving it; the second is empty unless it wraps.
func (b *Buffer) Segments() (one, two []byte) {
	end := b.r + b.n
	if end <= len(b.data) {
		return b.data[b.r:end], nil
	}
	return b.data[b.r:], b.data[:end-len(b.data)]
}

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	b.n -= n
	switch {
	case b.n > 0:
		b.r = (b.r + n) % len(b.data)
	case len(b.data) > keep:
		b.data, b.r = nil, 0
	default:
		b.r = 0
	}
}

// free is the first run of bytes that nothing is held in.
func (b *Buffer) free() []byte {
	w := b.r + b.n
	if w >= len(b.data) {
		w -= len(b.data)
		return b.data[w:b.r]
	}
	return b.data[w:]
}

func (b *Buffer) grow(n int) error {
	need := b.n + n
	if need <= len(b.data) {
		return nil
	}
	if need > b.most {
		return ErrFull
	}
	size := max(first, len(b.data))
	for size < need {
		size *= 2
	}
	b.move(min(size, b.most))
	return nil
}

func (b *Buffer) move(size int) {
	data := make([]byte, size)
	one, two := b.Segments()
	copy(data[copy(data, one):], two)
	b.data, b.r = data, 0
}
