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
// MaxLine bytes came without one. After either, it takes nothing more.
func (l *lineBuffer) feed(p []byte) (line []byte, complete bool, err error) {
	if l.done {
		return nil, false, nil
	}
	if i := bytes.IndexByte(p, '\n'); i >= 0 && len(l.buf)+i < MaxLine {
		l.done = true
		return append(l.buf, p[:i]...), true, nil
	}
	l.buf = append(l.buf, p[:min(len(p), MaxLine-len(l.buf))]...)
	if len(l.buf) >= MaxLine {
		l.done = true
		return nil, false, fmt.Errorf("%w: no line feed in %d bytes", ErrTooLong, MaxLine)
	}
	return nil, false, nil
}
