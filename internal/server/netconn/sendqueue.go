package netconn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wheatlane/internal/fifo"
	"wheatlane/internal/ring"
)

// SendQueue holds the bytes that are queued to be sent on a connection, in order, and records how many of them the
// operating system has accepted. Offsets count bytes from the start of the connection. Writes of which no byte has been
// submitted to the system can be withdrawn; they are then never sent. A SendQueue is safe for concurrent use.
type SendQueue struct {
	mu                sync.Mutex
	pending           *ring.Buffer
	queuedBytes       int64 // total bytes written to pending
	sentBytes         int64 // of queuedBytes, accepted by the operating system or withdrawn
	submittedBytes    int64 // sentBytes plus the bytes of a write call in progress: these may have been sent
	writes            []queuedWrite
	lastWriteAt       time.Time // when bytes were last queued
	hooks             fifo.Queue[sentHook]
	requestedShutDown *EndError     // reason to shut down the write side once pending is empty; nil: not requested
	shutDownReason    *EndError     // reason for which the write side was shut down; nil: it is open
	lateWriteCount    int           // late writes (see TakeLateWrites) that were not taken yet
	expired           []int64       // offsets of writes withdrawn because they expired, that were not taken yet
	lateAfter         time.Duration // from the expiry of a write
	onExpired         func()        // called, under the lock, when expired or lateWriteCount changes; may be nil
	now               func() time.Time
	writer            onDemandWriter
	mergesWrites      bool // no write is withdrawn or expires
	// directWrite writes without waiting and returns the number of bytes that the system has accepted; nil: all bytes are
	// queued first.
	directWrite   func(p []byte) int
	unsentMemory  *atomic.Int64 // memory of all queues that share it, in bytes; may be nil
	countedMemory int           // of this queue in unsentMemory
	ended         bool          // the connection has ended: nothing is sent any more
}

// queuedWrite is the byte range of one call of Write in the queue.
type queuedWrite struct {
	start, end int64
	queuedAt   time.Time
	expiresAt  time.Time // from then on the content is outdated; zero: never
	withdrawn  bool
}

// sentHook is a function to be called once all bytes before an offset have been sent or withdrawn.
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
		unsentMemory: options.UnsentMemory, mergesWrites: options.WriteThrough,
	}
}

// Write queues p and returns the offset of its first byte. It never blocks, and returns ring.ErrFull if p does not fit.
func (q *SendQueue) Write(p []byte) (int64, error) { return q.WriteExpiring(p, time.Time{}) }

// WriteExpiring queues p, which is withdrawn if no byte of it has been sent by expiresAt. The zero time means that p
// never expires. Otherwise it behaves as Write.
func (q *SendQueue) WriteExpiring(p []byte, expiresAt time.Time) (int64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	start := q.queuedBytes
	p = p[q.writeThrough(p):]
	if len(p) == 0 {
		return start, nil
	}
	if err := q.store(p); err != nil {
		return 0, err
	}
	q.countMemory()
	q.queuedBytes += int64(len(p))
	q.lastWriteAt = q.now()
	q.recordWrite(queuedWrite{
		start: q.queuedBytes - int64(len(p)), end: q.queuedBytes, queuedAt: q.lastWriteAt, expiresAt: expiresAt,
	})
	q.wake()
	return start, nil
}

// recordWrite records a write that was queued. Where writes can't be withdrawn one record stands for all: a record
// takes several times the memory of a short reply. The caller must hold the lock.
func (q *SendQueue) recordWrite(write queuedWrite) {
	if last := len(q.writes) - 1; q.mergesWrites && last >= 0 {
		q.writes[last].end = write.end
		return
	}
	q.writes = append(q.writes, write)
}

// store appends bytes to pending. After the end of the connection nothing is sent, so nothing is stored. The caller
// must hold the lock.
func (q *SendQueue) store(p []byte) error {
	if q.ended {
		return nil
	}
	_, err := q.pending.Write(p)
	return err
}

// writeThrough passes bytes to the system at once if none are queued, and returns how many it has accepted. Bytes that
// need not wait take no memory of the queue. The caller must hold the lock.
func (q *SendQueue) writeThrough(p []byte) int {
	if q.directWrite == nil || q.pending.Len() > 0 || q.writer.running || q.requestedShutDown != nil {
		return 0
	}
	n := q.directWrite(p)
	q.lastWriteAt = q.now()
	q.queuedBytes += int64(n)
	q.sentBytes += int64(n)
	q.submittedBytes = q.sentBytes
	return n
}

// Withdraw removes the write that begins at an offset. It returns false if a byte of the write may have been sent.
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
	if !found || offset < q.submittedBytes {
		return false
	}
	q.writes[i].withdrawn = true
	q.wake()
	return true
}

// WithdrawAll removes every write of which no byte can have been sent, and returns the number of bytes that may have
// been sent: writes beyond that offset are reported as never sent, so they must not be sent while the connection
// closes.
func (q *SendQueue) WithdrawAll() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.writes {
		q.writes[i].withdrawn = q.writes[i].withdrawn || q.writes[i].start >= q.submittedBytes
	}
	return q.submittedBytes
}

// AfterSent schedules a function to be called, on the goroutine that writes, once all bytes that are queued now have
// been sent or withdrawn.
func (q *SendQueue) AfterSent(call func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hooks.Push(sentHook{q.queuedBytes, call})
	q.wake()
}

// CloseAfterSent ends the connection once all queued bytes have been sent. Only the reason of the first call is stored.
func (q *SendQueue) CloseAfterSent(reason *EndError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.requestedShutDown == nil {
		q.requestedShutDown = reason
	}
	q.wake()
}

// queuedWithin reports whether the last write was queued less than a given time ago.
func (q *SendQueue) queuedWithin(within time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.now().Sub(q.lastWriteAt) < within
}

// wake makes the writer handle what was queued, withdrawn or requested. The caller must hold the lock.
func (q *SendQueue) wake() { q.writer.wake() }

// startWriter lets the writer run whenever there is something to write.
func (q *SendQueue) startWriter(write func() (ended bool), directWrite func(p []byte) int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.directWrite = directWrite
	q.writer.start(&q.mu, write)
}

// stopWriter prevents further runs of the writer, waits until it does not run, and drops the bytes that were not sent.
// The offsets of their writes stay: they were never sent.
func (q *SendQueue) stopWriter() {
	q.mu.Lock()
	q.writer.stop()
	q.directWrite = nil
	q.mu.Unlock()
	q.writer.wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	q.pending.Discard(q.pending.Len())
	q.pending.Shrink(0)
	q.countMemory()
}

// countMemory counts the memory of the queue. The caller must hold the lock.
func (q *SendQueue) countMemory() {
	memory := q.pending.Cap()
	if q.unsentMemory != nil && memory != q.countedMemory {
		q.unsentMemory.Add(int64(memory - q.countedMemory))
	}
	q.countedMemory = memory
}

// UnsentMemory returns the memory of the queued bytes, 0 if none are queued.
func (q *SendQueue) UnsentMemory() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Len() == 0 {
		return 0
	}
	return q.countedMemory
}

// AllSent reports whether the queue is empty.
func (q *SendQueue) AllSent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending.Len() == 0
}

// oldestWrite returns when the next bytes to be sent were queued. ok is false if the queue is empty.
func (q *SendQueue) oldestWrite() (queuedAt time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.skipWithdrawn()
	if len(q.writes) == 0 {
		return time.Time{}, false
	}
	return q.writes[0].queuedAt, true
}

// NextBytes withdraws expired writes and returns the next bytes to send, up to the first withdrawn write. Until the
// call of MarkSent, the returned bytes count as possibly sent.
func (q *SendQueue) NextBytes() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.withdrawExpired()
	q.skipWithdrawn()
	next, _ := q.pending.Segments()
	if i := slices.IndexFunc(q.writes, func(w queuedWrite) bool { return w.withdrawn }); i >= 0 {
		next = next[:min(int64(len(next)), q.writes[i].start-q.sentBytes)]
	}
	q.submittedBytes = q.sentBytes + int64(len(next))
	return next
}

// MarkSent removes n bytes that the operating system has accepted, and calls the hooks that are due. With n = 0 it
// calls the hooks that only waited for withdrawn bytes.
func (q *SendQueue) MarkSent(n int) {
	for _, hook := range q.advanceSent(n) { // without the lock: a hook may block on the broker's loop
		hook.call()
	}
}

// advanceSent removes n bytes that were sent and returns the hooks that are due.
func (q *SendQueue) advanceSent(n int) (due []sentHook) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.discard(n)
	q.submittedBytes = q.sentBytes
	for q.hooks.Len() > 0 && q.hooks.Items()[0].offset <= q.sentBytes {
		hook, _ := q.hooks.Pop()
		due = append(due, hook)
	}
	return due
}

// beginShutDown begins to shut down the write side if this was requested and the queue is empty. It returns the reason,
// or nil if the write side stays open.
func (q *SendQueue) beginShutDown() *EndError {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shutDownReason = q.requestedShutDown
	if q.pending.Len() > 0 {
		q.shutDownReason = nil // bytes were queued concurrently, which wakes the writer again
	}
	return q.shutDownReason
}

// ShutDownReason returns the reason for which the write side was shut down, after which no bytes are sent. It returns
// nil if the write side is open.
func (q *SendQueue) ShutDownReason() *EndError {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shutDownReason
}

// skipWithdrawn removes withdrawn writes from the front of the queue. The caller must hold the lock.
func (q *SendQueue) skipWithdrawn() {
	for len(q.writes) > 0 && q.writes[0].withdrawn {
		q.discard(int(q.writes[0].end - q.sentBytes))
	}
}

// discard removes the first n bytes from the queue. The caller must hold the lock.
func (q *SendQueue) discard(n int) {
	if n == 0 {
		return
	}
	q.countLateWrites(n)
	q.pending.Discard(n)
	q.countMemory()
	q.sentBytes += int64(n)
	done := 0
	for done < len(q.writes) && q.writes[done].end <= q.sentBytes {
		done++
	}
	q.writes = slices.Delete(q.writes, 0, done)
}
