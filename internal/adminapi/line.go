package adminapi

import (
	"bytes"
	"fmt"
)

// lineBuffer gathers the bytes of a connection into its first line, however they are split.
type lineBuffer struct {
	buf  []byte
	done bool
}

// feed takes more bytes. It returns the line, without its line feed, once it is complete, and ErrTooLong once
// MaxLineBytes bytes came without one. After either, it takes nothing more.
func (l *lineBuffer) feed(data []byte) (line []byte, complete bool, err error) {
	if l.done {
		return nil, false, nil
	}
	if i := bytes.IndexByte(data, '\n'); i >= 0 && len(l.buf)+i < MaxLineBytes {
		l.done = true
		return append(l.buf, data[:i]...), true, nil
	}
	l.buf = append(l.buf, data[:min(len(data), MaxLineBytes-len(l.buf))]...)
	if len(l.buf) >= MaxLineBytes {
		l.done = true
		return nil, false, fmt.Errorf("%w: no line feed in %d bytes", ErrTooLong, MaxLineBytes)
	}
	return nil, false, nil
}
