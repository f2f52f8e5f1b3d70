package asynclog

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"wheatlane/internal/socktest"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	begun    chan struct{} // receives a value when the first write has begun
	released chan struct{}
	got      bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.begun <- struct{}{}:
	default: // the first write has begun before
	}
	<-b.released
	return b.got.Write(p)
}

// While the reader of the log stalls, no write blocks, lines that don't fit the queue are dropped, and a log line
// reports their number.
func TestStalledReaderCausesDroppedLinesButNoBlocking(t *testing.T) {
	b := &blockedWriter{begun: make(chan struct{}, 1), released: make(chan struct{})}
	w := New(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2 * maxQueuedBytes / 1024
	for number := range lines {
		if number == 1 { // the number of dropped lines is reported with the batch that follows the first line
			socktest.Receive(t, b.begun, "the write of the first line")
		}
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: got %d bytes, error %v, want %d bytes", n, err, len(line))
		}
	}
	if err := w.Sync(); !errors.Is(err, ErrNotWritten) {
		t.Errorf("sync with a stalled reader: got error %v, want %v", err, ErrNotWritten)
	}
	close(b.released)
	for w.Sync() != nil { // may time out on a slow machine
		continue
	}
	written := strings.Count(b.got.String(), string(line))
	if written != maxQueuedBytes/1024 || !strings.Contains(b.got.String(), `"msg":"log lines dropped","lines":1024}`) {
		t.Errorf("%d of %d lines were written; the log ends with %q", written, lines, tail(b.got.String()))
	}
	if _, err := w.Write([]byte("after\n")); err != nil {
		t.Error(err)
	}
	for w.Sync() != nil {
		continue
	}
	if !strings.HasSuffix(b.got.String(), "after\n") {
		t.Errorf("the log ends with %q", tail(b.got.String()))
	}
}

func tail(s string) string { return s[max(0, len(s)-100):] }
