// Package asynclog writes log lines on a separate goroutine, so that a stalled reader of the log can't block the
// callers that log. The queue is bounded: lines that don't fit are dropped and counted.
package asynclog

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes limits the total length of the queued lines.
	maxQueuedBytes = 1 << 20
	// syncTimeout limits the time that Sync waits for the queued lines when the program ends.
	syncTimeout = time.Second
)

// ErrNotWritten is the error of Sync when lines are still queued after its timeout.
var ErrNotWritten = errors.New("asynclog: queued lines not written before the timeout")

// Writer is an io.Writer of whole lines that never blocks. It is safe for concurrent use.
type Writer struct {
	to     io.Writer
	wakeup chan struct{}

	mu      sync.Mutex // guards the fields below
	queue   [][]byte
	bytes   int           // total length of the lines that are queued or being written
	dropped int           // lines dropped since the last report of dropped lines
	writing bool          // a batch is being written
	idle    chan struct{} // closed when nothing is queued or being written
}

// New returns a writer to an underlying writer. Its goroutine runs until the program ends.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, wakeup: make(chan struct{}, 1), idle: make(chan struct{})}
	close(w.idle)
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	if len(w.queue) == 0 && !w.writing {
		w.idle = make(chan struct{})
	}
	w.queue, w.bytes = append(w.queue, append([]byte(nil), line...)), w.bytes+len(line)
	select {
	case w.wakeup <- struct{}{}:
	default: // a wakeup is pending already
	}
	return len(line), nil
}

// Sync waits until all queued lines have been written. It fails with ErrNotWritten after a timeout.
func (w *Writer) Sync() error {
	w.mu.Lock()
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-time.After(syncTimeout):
		return ErrNotWritten
	}
}

func (w *Writer) run() {
	for range w.wakeup {
		for batch := w.dequeue(); len(batch) > 0; batch = w.dequeue() {
			for i, line := range batch {
				_, _ = w.to.Write(line) // there is nowhere else to report the error
				batch[i] = nil          // free before its bytes are released
				w.releaseBytes(len(line))
			}
		}
	}
}

// dequeue removes and returns the queued lines, followed by a line that reports the number of dropped ones, if any.
func (w *Writer) dequeue() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queue
	if w.dropped > 0 && len(batch) > 0 {
		line := fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", w.dropped)
		batch, w.bytes, w.dropped = append(batch, line), w.bytes+len(line), 0
	}
	w.queue, w.writing = nil, len(batch) > 0
	if !w.writing {
		select {
		case <-w.idle:
		default:
			close(w.idle)
		}
	}
	return batch
}

// releaseBytes records that n bytes are no longer queued.
func (w *Writer) releaseBytes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= n
}
