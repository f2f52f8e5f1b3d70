// Package ring provides a bounded ring buffer of bytes. A connection has one for each direction. A buffer starts
// without memory, grows as bytes are added, up to its limit, and releases its memory when it becomes empty.
package ring

import (
	"errors"
	"io"
)

// ErrFull reports that the bytes to add would exceed the buffer's limit.
var ErrFull = errors.New("ring: buffer is full")

const (
	initialSize = 1 << 10 // size of the first allocation in bytes
	maxIdleSize = 1 << 10 // an empty buffer with more bytes of memory than this releases it
)

// Buffer is a ring buffer of bytes. It is not safe for concurrent use, with one exception: slices returned by Segments
// may be read during a call of Write, as Write never modifies bytes that have not been discarded.
type Buffer struct {
	data   []byte
	start  int // index in data of the first buffered byte
	length int // number of buffered bytes
	limit  int // maximum number of buffered bytes
}

// New returns an empty Buffer that holds at most limit bytes.
func New(limit int) *Buffer { return &Buffer{limit: limit} }

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return b.length }

// Cap returns the size of the buffer's memory in bytes.
func (b *Buffer) Cap() int { return len(b.data) }

// Limit returns the maximum number of buffered bytes.
func (b *Buffer) Limit() int { return b.limit }

// Grow raises the limit and allocates memory for that many bytes at once.
func (b *Buffer) Grow(limit int) {
	b.limit = max(b.limit, limit)
	if len(b.data) < b.limit {
		b.reallocate(b.limit)
	}
}

// Reserve allocates memory for a number of bytes at once, if the limit allows that many.
func (b *Buffer) Reserve(bytes int) {
	if len(b.data) < bytes && bytes <= b.limit {
		b.reallocate(bytes)
	}
}

// Shrink lowers the limit and releases the memory beyond it. The buffered bytes must not exceed it.
func (b *Buffer) Shrink(limit int) {
	b.limit = limit
	switch {
	case b.length == 0:
		b.data, b.start = nil, 0
	case len(b.data) > limit:
		b.reallocate(limit)
	}
}

// Write appends all of p. If p exceeds the remaining capacity, Write appends nothing and returns ErrFull.
func (b *Buffer) Write(p []byte) (int, error) {
	if err := b.grow(len(p)); err != nil {
		return 0, err
	}
	for remaining := p; len(remaining) > 0; {
		n := copy(b.free(), remaining)
		b.length += n
		remaining = remaining[n:]
	}
	return len(p), nil
}

// ReadOnce appends the bytes of a single Read from src. If the buffer is full, ReadOnce does not read and returns
// ErrFull.
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

// Bytes returns all buffered bytes as one slice, which is valid until the next call that modifies the buffer.
func (b *Buffer) Bytes() []byte {
	if b.start+b.length > len(b.data) { // the bytes wrap around the end, but one slice needs them contiguous
		b.reallocate(len(b.data))
	}
	return b.data[b.start : b.start+b.length]
}

// Segments returns all buffered bytes in order, without copying them. tail is empty unless the bytes wrap around.
func (b *Buffer) Segments() (head, tail []byte) {
	end := b.start + b.length
	if end <= len(b.data) {
		return b.data[b.start:end], nil
	}
	return b.data[b.start:], b.data[:end-len(b.data)]
}

// Discard removes the first n bytes. n must not exceed Len.
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

// free returns the first contiguous segment of unused memory.
func (b *Buffer) free() []byte {
	end := b.start + b.length
	if end >= len(b.data) {
		end -= len(b.data)
		return b.data[end:b.start]
	}
	return b.data[end:]
}

// grow ensures capacity for n more bytes, doubling the memory as needed.
func (b *Buffer) grow(n int) error {
	required := b.length + n
	if required <= len(b.data) {
		return nil
	}
	if required > b.limit {
		return ErrFull
	}
	size := max(initialSize, len(b.data))
	for size < required {
		size *= 2
	}
	b.reallocate(min(size, b.limit))
	return nil
}

// reallocate copies the buffered bytes to the start of new memory of the given size.
func (b *Buffer) reallocate(size int) {
	data := make([]byte, size)
	head, tail := b.Segments()
	copy(data[copy(data, head):], tail)
	b.data, b.start = data, 0
}
