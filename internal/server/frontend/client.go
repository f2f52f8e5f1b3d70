package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

const (
	maxClientSendBytes = 256 << 10 // several complete results
	// maxUnappliedEvents is the number of events of one client that may wait for the loop.
	maxUnappliedEvents = 16
)

// client is a client's connection. Unless noted otherwise, a field belongs to the goroutine that reads.
type client struct {
	frontend *Frontend
	session  broker.Session
	conn     *netconn.Conn
	admitted chan struct{} // closed when the client may be greeted

	loggedIn        bool
	readDeadline    time.Time // by which more bytes must arrive
	lateRead        bool      // the deadline has passed, and the late read is in progress (lateReadTimeout)
	hasSubmitted    bool      // a request was received
	emptyFinalReads int       // final reads (finalReads) that found the socket empty

	posted      int64 // number of events posted to the loop
	received    int64 // number of bytes read from the connection
	holdsMemory bool  // the receive buffer is larger than memorybudget.SmallMessageBytes
	hasTurn     bool  // it is the client's turn to pass a large message to the loop

	lastReadAt      time.Duration // when the last read returned bytes; until then when the client was greeted or accepted
	earliestArrival time.Duration // of these bytes

	messageBegun atomic.Bool  // a part of a message was received
	handling     atomic.Bool  // small commands were received that the loop has not applied yet
	readLast     atomic.Bool  // what has arrived is read before the reader stops; set by the loop
	stopReading  atomic.Bool  // the reader must stop; set by the loop
	applied      atomic.Int64 // number of the reader's events that the loop has applied
	abandoned    atomic.Bool  // the reader must give up a partially received message; set by another client's reader

	appliedSignal chan struct{} // receives after applied has changed
	memoryGranted chan struct{} // receives when the client gets the memory that it waits for
	turnGranted   chan struct{} // receives when it is the turn of the client's large message

	// Owned by the loop.
	closeReason *netconn.EndError // reason for which the broker closes the connection; nil: it does not
	inputEnded  bool              // the reader has stopped: nothing more is read
	fullyRead   bool              // the final reads are complete, and all received commands are with the reducer
}

func newClient(f *Frontend, session broker.Session, socket net.Conn) *client {
	return &client{
		frontend: f, session: session, admitted: make(chan struct{}), memoryGranted: make(chan struct{}, 1),
		turnGranted: make(chan struct{}, 1), appliedSignal: make(chan struct{}, 1), lastReadAt: clock.Now(),
		conn: netconn.New(socket, netconn.Options{
			MaxReceiveBytes: memorybudget.SmallMessageBytes, MaxSendBytes: maxClientSendBytes,
			UnsentMemory: &f.unsentMemory, WriteThrough: true,
		}),
	}
}

// post posts a function to the loop.
func (c *client) post(ctx context.Context, f func()) { c.frontend.loop.Post(ctx, f) }

// apply posts an event for the reducer.
func (c *client) apply(ctx context.Context, event broker.Event) {
	c.posted++
	c.post(ctx, func() {
		c.frontend.events.Apply(event)
		c.applied.Add(1)
		select {
		case c.appliedSignal <- struct{}{}:
		default: // the reader will find the count changed
		}
	})
}

// awaitApplied waits until the loop has applied all events that the reader posted. A client that sends faster than the
// loop applies gets no further ahead of other clients than what was read at once.
func (c *client) awaitApplied(ctx context.Context) error {
	for c.applied.Load() < c.posted {
		select {
		case <-c.appliedSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// read greets a client once it is admitted, logs it in and passes its commands to the reducer until the connection
// ends.
func (c *client) read(ctx context.Context) error {
	select {
	case <-c.admitted:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer c.dropInput()
	if err := c.greet(); err != nil {
		return err
	}
	c.lastReadAt = clock.Now()
	if err := c.setReadTimeout(loginTimeout); err != nil {
		return err
	}
	for {
		received, err := c.receive(ctx)
		if err != nil {
			return err
		}
		if !received {
			continue
		}
		if err := c.handleReceived(ctx); err != nil {
			return err
		}
		if err := c.updateReadTimeout(); err != nil {
			return err
		}
	}
}

// receive reads once and reports whether bytes arrived. An error ends the connection.
func (c *client) receive(ctx context.Context) (received bool, err error) {
	if received := c.conn.Received; received.Len() == received.Limit() {
		if rejected, err := c.growBuffer(ctx, mysql.PacketLen(received.Bytes())); rejected || err != nil {
			return rejected, err // commands behind a rejected one may have been received
		}
	}
	calledAt := clock.Now()
	if err := c.readOnce(); err != nil {
		return false, c.handleReadError(ctx, err)
	}
	c.handling.Store(!c.holdsMemory)
	c.recordArrival(calledAt, clock.Now())
	if c.conn.ShutDownReason() != nil { // the write side is shut down: no reply could be sent
		c.post(ctx, func() { c.frontend.observer.Violated(invariant.NoReadAfterShutdown) })
	}
	return true, nil
}

// readOnce reads once from the connection.
func (c *client) readOnce() error {
	before := c.conn.Received.Len()
	err := c.conn.ReadOnce()
	c.received += int64(c.conn.Received.Len() - before)
	return err
}

// handleReadError returns the error that ends the connection, or nil if the reader must continue.
func (c *client) handleReadError(ctx context.Context, err error) error {
	switch {
	case netconn.IsTimeout(err) && c.stopReading.Load():
		return c.closeAfterReplies(ctx)
	case netconn.IsTimeout(err) && c.abandoned.Load() && c.messageArrived():
		c.abandoned.Store(false) // on a busy core the message was only not read yet
		return c.setReadTimeout(time.Until(c.readDeadline))
	case netconn.IsTimeout(err) && c.abandoned.Load():
		return c.endWithoutMessage(ctx)
	case netconn.IsTimeout(err) && time.Now().Before(c.readDeadline): // finalReadTimeout has expired
		return c.handleFinalReadTimeout(ctx)
	case netconn.IsTimeout(err) && !c.lateRead:
		c.lateRead = true
		return c.conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	case netconn.IsTimeout(err) && !c.loggedIn:
		return &netconn.EndError{Reason: netconn.LoginTimeout, Err: err}
	case netconn.IsTimeout(err) && c.messageBegun.Load():
		return c.handlePartialMessageTimeout(ctx)
	case errors.Is(err, io.EOF):
		return c.handleHalfClose(ctx, err)
	}
	return err
}

// handleReceived handles the complete packets that were received, and waits until the loop has applied them.
func (c *client) handleReceived(ctx context.Context) error {
	if err := c.handlePackets(ctx); err != nil {
		return err
	}
	c.handling.Store(false)
	c.shrinkBuffer()
	return nil
}

// handlePackets handles the complete packets that were received.
func (c *client) handlePackets(ctx context.Context) error {
	// The process may have been paused between the read and the query of TCP_INFO.
	newest := min(c.lastReadAt, clock.Now()-c.frontend.sinceReceived(c.conn.Socket()))
	for {
		packet, size, err := mysql.ParsePacket(c.conn.Received.Bytes())
		if err != nil {
			return c.failProtocol(ctx, mysql.ResponseSequence, mysql.CodePacketTooLarge, err)
		}
		if size == 0 && !c.loggedIn && c.conn.Received.Len() == memorybudget.SmallMessageBytes {
			return c.failProtocol(ctx, mysql.LoginSequence+1, mysql.CodePacketTooLarge, mysql.ErrTooLarge)
		}
		if size == 0 {
			return c.awaitApplied(ctx)
		}
		if c.posted-c.applied.Load() >= maxUnappliedEvents {
			if err := c.awaitApplied(ctx); err != nil {
				return err
			}
		}
		if c.loggedIn {
			sent := sendTime{sentAt: newest}
			if size < c.conn.Received.Len() {
				sent.waitingSince = min(newest, c.earliestArrival)
			}
			err = c.handleCommand(ctx, packet, sent)
		} else {
			err = c.login(ctx, packet)
		}
		if err != nil {
			return err
		}
		c.conn.Received.Discard(size)
	}
}
