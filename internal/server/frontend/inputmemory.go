package frontend

import (
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

// arrivalPollInterval is the time between two checks whether a message that waits for memory has arrived.
const arrivalPollInterval = 25 * time.Millisecond

// noInputMemoryText is the reply to a message that has waited for memory for too long.
const noInputMemoryText = "the broker has no memory for so large a message now"

// messageCopies is the number of copies of a message until the loop has applied it: in the receive buffer, and as text.
const messageCopies = 2

// inputMemory grants the memory for messages that are larger than memorybudget.SmallMessageBytes. A client that has to
// wait for it is not read meanwhile. It is safe for concurrent use.
type inputMemory struct {
	mu   sync.Mutex
	pool *memorybudget.Pool[*client]
}

func newInputMemory(capacityBytes int) *inputMemory {
	return &inputMemory{pool: memorybudget.NewPool[*client](capacityBytes)}
}

// setCapacity changes the capacity.
func (m *inputMemory) setCapacity(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pool.SetCapacity(bytes)
}

// use returns the memory in use, and the number of clients that wait.
func (m *inputMemory) use() (bytes, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Used(), m.pool.Waiting()
}

// request requests memory for a client.
func (m *inputMemory) request(c *client, bytes int) memorybudget.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Request(clock.Now(), c, bytes)
}

// release ends a client's use of memory, or its wait, and wakes the clients that get memory.
func (m *inputMemory) release(c *client) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wake(m.pool.Release(clock.Now(), c))
}

// setPaused pauses or resumes grants, and wakes the clients that get memory.
func (m *inputMemory) setPaused(paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wake(m.pool.SetPaused(clock.Now(), paused))
}

// lend grants memory to the client whose turn it is, whatever others hold, and reports whether it did: not while
// grants are paused. The client holds it no longer than its turn takes.
func (m *inputMemory) lend(c *client, bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pool.Lend(clock.Now(), c, bytes)
}

// wake wakes clients that were granted memory.
func wake(granted []*client) {
	for _, c := range granted {
		c.memoryGranted <- struct{}{} // has capacity: a client waits for one grant at a time
	}
}

// evictOldest makes the clients that have held memory for longest give up their messages, whether others wait or not.
func (m *inputMemory) evictOldest(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.pool.Oldest(count) {
		c.abandonMessage() // with the lock, so that it has not released the memory before
	}
}

// evict makes the client give up its message that has held memory for longest while others wait, if there is one.
func (m *inputMemory) evict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if victim, ok := m.pool.Victim(clock.Now()); ok {
		victim.abandonMessage() // with the lock, so that the victim has not released the memory before
	}
}

// growBuffer gets memory for the message that fills the receive buffer. It waits until the memory is granted, or until
// the message has arrived and it is its turn. If that takes too long, a message that has arrived is read without the
// memory and rejected. The input of a client that has left before it sent the complete message ends instead.
func (c *client) growBuffer(ctx context.Context, message int) (rejected bool, err error) {
	if c.leftWithin(message) {
		return false, c.handleHalfClose(ctx, io.EOF)
	}
	c.frontend.turns.begin(c, c.received-int64(c.conn.Received.Len()-message))
	switch c.frontend.input.request(c, messageCopies*message) {
	case memorybudget.Admit:
	case memorybudget.Pause:
		granted, err := c.waitForMemory(ctx, messageCopies*message)
		if err != nil {
			return false, err
		}
		if !granted {
			return true, c.rejectMessage(ctx, message)
		}
	case memorybudget.Reject:
		return false, c.failProtocol(ctx, mysql.ResponseSequence, mysql.CodePacketTooLarge, mysql.ErrTooLarge)
	}
	if c.leftWithin(message) { // while it waited
		return false, c.handleHalfClose(ctx, io.EOF)
	}
	c.holdsMemory = true
	c.conn.Received.Grow(message)
	return false, nil
}

// messageArrived reports whether the message at the start of the receive buffer has arrived completely, though a part
// of it is not read yet.
func (c *client) messageArrived() bool {
	received := c.conn.Received.Bytes()
	if len(received) < mysql.HeaderLen {
		return false
	}
	unread, known := unreadBytes(c.conn.Socket())
	return known && len(received)+unread >= mysql.PacketLen(received)
}

// rejectMessage reads the rest of a message that has arrived, keeps nothing of it, and has it rejected: its client
// would otherwise not learn that a retry is harmless. Commands behind it may be in the receive buffer then.
func (c *client) rejectMessage(ctx context.Context, message int) error {
	rest := message - c.conn.Received.Len()
	c.conn.Received.Discard(c.conn.Received.Len())
	c.conn.Received.Shrink(memorybudget.SmallMessageBytes)
	c.releaseMemory()
	for rest > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
			return err
		}
		if err := c.readOnce(); err != nil {
			return c.handleReadError(ctx, err)
		}
		part := min(rest, c.conn.Received.Len())
		c.conn.Received.Discard(part)
		rest -= part
	}
	c.messageBegun.Store(false)
	c.apply(ctx, c.immediateReply(broker.ReplyRejected, noInputMemoryText))
	return nil
}

// leftWithin reports whether the client has closed its side of the connection within the message that it is sending.
func (c *client) leftWithin(message int) bool {
	if !c.frontend.hasDeparted(c.conn.Socket()) {
		return false
	}
	unread, known := unreadBytes(c.conn.Socket())
	return known && c.conn.Received.Len()+unread < message
}

// waitForMemory waits until the memory that was requested is granted. Once the message has arrived it waits for its
// turn as well, in which it gets the memory whatever others hold, and for its maximum delay at most. Meanwhile the
// timeout of the message runs, and clients that have held memory for long are evicted.
func (c *client) waitForMemory(ctx context.Context, bytes int) (granted bool, err error) {
	eviction := time.NewTicker(memorybudget.StallGrace / 2)
	defer eviction.Stop()
	poll := time.NewTicker(arrivalPollInterval)
	defer poll.Stop()
	c.frontend.input.evict()
	for {
		late := c.checkArrival()
		if c.hasTurn && c.frontend.input.lend(c, bytes) {
			return true, nil
		}
		if late {
			return false, nil
		}
		select {
		case <-c.memoryGranted:
			return true, nil
		case <-c.turnGranted:
			c.hasTurn = true
		case <-eviction.C:
			c.frontend.input.evict()
		case <-poll.C:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		if err := c.checkWhileWaiting(ctx); err != nil {
			return false, err
		}
	}
}

// checkArrival records whether the message at the start of the receive buffer has arrived, and reports whether it has
// been delayed for as long as it may be.
func (c *client) checkArrival() (late bool) {
	if !c.messageArrived() {
		return false
	}
	now := clock.Now()
	arrivedAt := c.frontend.turns.arrive(c, now-c.frontend.sinceReceived(c.conn.Socket()))
	return now-arrivedAt >= maxTurnDelay(c.conn.Received.Bytes())
}

// checkWhileWaiting handles what a read that times out would handle: the end of the connection by the broker, the loss
// of the memory that is held already, and the timeout of the message.
func (c *client) checkWhileWaiting(ctx context.Context) error {
	switch {
	case c.stopReading.Load():
		return c.closeAfterReplies(ctx)
	case c.abandoned.Load():
		return c.endWithoutMessage(ctx)
	case time.Now().After(c.readDeadline):
		return c.handlePartialMessageTimeout(ctx)
	}
	return nil
}

// shrinkBuffer returns the memory of the receive buffer once the bytes that remain in it fit without.
func (c *client) shrinkBuffer() {
	if c.holdsMemory && c.conn.Received.Len() <= memorybudget.SmallMessageBytes {
		c.conn.Received.Shrink(memorybudget.SmallMessageBytes)
		c.releaseMemory()
	}
}

// dropInput drops the bytes that were received and not handled, and the memory of the receive buffer. The memory is
// free before it is released: others allocate it at once.
func (c *client) dropInput() {
	c.conn.Received.Discard(c.conn.Received.Len())
	c.conn.Received.Shrink(0)
	c.releaseMemory()
}

// releaseMemory ends the use of granted memory, a wait for it, and the turn of the message. The receive buffer must
// have been shrunk before.
func (c *client) releaseMemory() {
	c.holdsMemory = false
	c.frontend.input.release(c)
	select {
	case <-c.memoryGranted: // granted at the same time
	default:
	}
	c.abandoned.Store(false)
	c.endTurn()
}

// abandonMessage makes the reader give up the message that it is receiving.
func (c *client) abandonMessage() {
	c.abandoned.Store(true)
	_ = c.conn.SetReadDeadline(time.Now()) // fails only if the connection has closed
}

// endWithoutMessage gives up a partially received message. The session ends once the commands before it are answered.
// Bytes that arrive from now on stay unread.
func (c *client) endWithoutMessage(ctx context.Context) error {
	c.frontend.cfg.Log.Info("message given up, others need its memory", zap.Uint32("session", uint32(c.session)),
		zap.Int("received", c.conn.Received.Len()))
	c.dropInput()
	c.post(ctx, func() {
		c.inputEnded, c.fullyRead = true, true
		if c.closeReason != nil {
			c.conn.CloseAfterSent(c.closeReason)
			return
		}
		c.frontend.events.Apply(broker.MessageAbandoned{Session: c.session})
	})
	<-ctx.Done()
	return &netconn.EndError{Reason: netconn.EvictedIdle}
}
