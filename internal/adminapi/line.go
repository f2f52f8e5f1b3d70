package adminapi

import (
	"bytes"
	"fmt"
)

// lineBuffer assembles the first line of a connection from reads of any size.
type lineBuffer struct {
	buf  []byte
	done bool // the line is complete or too long
}

// feed adds received bytes. It returns the line, without its line feed, once it is complete, and an error that wraps
// ErrTooLong once MaxLineBytes have been received without a line feed. After either, further bytes are ignored.
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
