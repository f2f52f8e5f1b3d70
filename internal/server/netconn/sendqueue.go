package netconn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheatlane/internal/ring"
)

// SendQueue holds the bytes that wait to be sent on a connection, in order, and knows how many of them the
// system has accepted. Offsets count bytes from the start of the connection. Bytes that have not been handed
// to the system can be withdrawn; they are then never sent. All methods may be called from any goroutine.
type SendQueue struct {
	mu             sync.Mutex
	pending        *ring.Buffer
	queuedBytes    int64 // ever written to pending
	sentBytes      int64 // of these, accepted by the system or withdrawn
	handedBytes    int64 // sentBytes, and what a write under way was given: these bytes may have left
	writes         []queuedWrite
	lastWriteAt    time.Time // of the last call of write
	hooks          []sentHook
	requestedEnd   *EndError     // why this side is to be shut down once pending is empty; nil: it is not
	shutDownReason *EndError     // why this side was shut down; nil: it was not
	lateWrites     int           // writes whose first byte left over lateAfter past their expiry, until they are taken
	expired        []int64       // offsets of the writes that were withdrawn as they expired, until they are taken
	lateAfter      time.Duration // from the expiry of a write
	onExpired      func()        // called, under the lock, when expired or lateWrites changes; nil: nobody is notified
	now            func() time.Time
	wakeup         chan struct{}
}

// queuedWrite is the extent of one call of write in the queue.
type queuedWrite struct {
	start, end int64
	queuedAt   time.Time
	expiresAt  time.Time // its content is out of date from then on; zero: never
	withdrawn  bool
}

// sentHook is called once all bytes before its offset have been sent.
type sentHook struct {
	offset int64
	call   func()
}

func newSendQueue(options Options) SendQueue {
	now := options.Now
	if now == nil {
		now = time.Now
	}
	return SendQueue{
		pending: ring.New(options.MaxSendBytes), lateAfter: options.LateAfter, onExpired: options.OnExpired, now: now,
		wakeup: make(chan struct{}, 1),
	}
}

// Write queues p and returns the offset of its first byte. It never blocks: a full queue is ring.ErrFull.
func (q *SendQueue) Write(p []byte) (int64, error) { return q.WriteExpiring(p, time.Time{}) }

// WriteExpiring queues p, which is out of date from a time on.
func (q *SendQueue) WriteExpiring(p []byte, expiresAt time.Time) (int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, err := q.pending.Write(p); err != nil {
		return 0, err
	}
	start := q.queuedBytes
	q.queuedBytes += int64(len(p))
	q.lastWriteAt = q.now()
	q.writes = append(q.writes, queuedWrite{
		start: start, end: q.queuedBytes, queuedAt: q.lastWriteAt, expiresAt: expiresAt,
	})
	q.wake()
	return start, nil
}

// Withdraw removes the write that begins at an offset. It returns false if a byte of it may have left.
func (q *SendQueue) Withdraw(offset int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, found := slices.BinarySearchFunc(q.writes, offset, func(w queuedWrite, offset int64) int {
		return cmp.Compare(w.start, offset)
	})
	if at := slices.Index(q.expired, offset); at >= 0 {
		q.expired = slices.Delete(q.expired, at, at+1)
		return true
	}
	if !found || offset < q.handedBytes {
		return false
	}
	q.writes[i].withdrawn = true
	q.wake()
	return true
}

// WithdrawAll removes every write of which no byte can have left, and returns the number of bytes that may
// have: what is beyond that offset is reported as never sent, so it must not leave while the connection
// closes.
func (q *SendQueue) WithdrawAll() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.writes {
		q.writes[i].withdrawn = q.writes[i].withdrawn || q.writes[i].start >= q.handedBytes
	}
	return q.handedBytes
}

// AfterSent calls a function, on the goroutine that writes, once all that is queued now has been sent.
func (q *SendQueue) AfterSent(call func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hooks = append(q.hooks, sentHook{q.queuedBytes, call})
	q.wake()
}

// CloseAfterSent ends the connection once all that is queued has been sent. Only the first reason is kept.
func (q *SendQueue) CloseAfterSent(reason *EndError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.requestedEnd == nil {
		q.requestedEnd = reason
	}
	q.wake()
}

// wroteWithin reports whether something was queued within a time before now.
func (q *SendQueue) wroteWithin(within time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.now().Sub(q.lastWriteAt) < within
}

// wake lets the goroutine that writes look at the queue.
func (q *SendQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default: // it is awake already
	}
}

// AllSent reports whether nothing is left to send.
func (q *SendQueue) AllSent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending.Len() == 0
}

// oldestWrite returns when the bytes that are next to be sent were queued; false if nothing is.
func (q *SendQueue) oldestWrite() (queuedAt time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.skipWithdrawn()
	if len(q.writes) == 0 {
		return time.Time{}, false
	}
	return q.writes[0].queuedAt, true
}

// NextBytes returns the bytes to send next, up to the first write that was withdrawn. Until MarkSent they
// count as if they had left. Writes that have expired are withdrawn.
func (q *SendQueue) NextBytes() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.withdrawExpired()
	q.skipWithdrawn()
	next, _ := q.pending.Segments()
	if i := slices.IndexFunc(q.writes, func(w queuedWrite) bool { return w.withdrawn }); i >= 0 {
		next = next[:min(int64(len(next)), q.writes[i].start-q.sentBytes)]
	}
	q.handedBytes = q.sentBytes + int64(len(next))
	return next
}

// MarkSent removes n bytes that the system has accepted, and calls the hooks that are due. With 0 bytes it runs those
// that only waited for bytes that were withdrawn.
func (q *SendQueue) MarkSent(n int) {
	for _, hook := range q.advanceSent(n) { // not under the lock: a hook may wait for the broker's loop
		hook.call()
	}
}

// advanceSent moves on by n bytes and returns the hooks that are due.
func (q *SendQueue) advanceSent(n int) []sentHook {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(n)
	q.handedBytes = q.sentBytes
	due := 0
	for due < len(q.hooks) && q.hooks[due].offset <= q.sentBytes {
		due++
	}
	hooks := q.hooks[:due:due]
	q.hooks = q.hooks[due:]
	return hooks
}

// beginShutDown begins to shut this side down if its end was requested and nothing is left to send. It returns the
// reason; nil if this side goes on.
func (q *SendQueue) beginShutDown() *EndError {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shutDownReason = q.requestedEnd
	if q.pending.Len() > 0 {
		q.shutDownReason = nil // bytes were queued meanwhile, which wakes the writer again
	}
	return q.shutDownReason
}

// ShutDownReason returns the reason for which this side was shut down: nothing more leaves. It is nil before.
func (q *SendQueue) ShutDownReason() *EndError {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shutDownReason
}

// skipWithdrawn drops the writes at the front that were withdrawn. The lock is held.
func (q *SendQueue) skipWithdrawn() {
	for len(q.writes) > 0 && q.writes[0].withdrawn {
		q.advance(int(q.writes[0].end - q.sentBytes))
	}
}

// advance drops the first n bytes. The lock is held.
func (q *SendQueue) advance(n int) {
	if n == 0 {
		return
	}
	q.countLate(n)
	q.pending.Discard(n)
	q.sentBytes += int64(n)
	done := 0
	for done < len(q.writes) && q.writes[done].end <= q.sentBytes {
		done++
	}
	q.writes = slices.Delete(q.writes, 0, done)
}
