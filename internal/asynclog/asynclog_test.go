package asynclog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	released chan struct{}
	got      bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.released
	return b.got.Write(p)
}

// While the reader of the log stalls, no write blocks, lines that don't fit the queue are dropped, and a log line
// reports their number.
func TestStalledReaderCausesDroppedLinesButNoBlocking(t *testing.T) {
	b := &blockedWriter{released: make(chan struct{})}
	w := New(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2 * maxQueuedBytes / 1024
	for range lines {
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
