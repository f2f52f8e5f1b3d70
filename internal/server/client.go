package server

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

const (
	maxClientReceiveBytes = mysql.MaxPacket + mysql.HeaderLen // a complete packet
	maxClientSendBytes    = 256 << 10                         // several complete results

	// The protocol owes an end within 3 s to whoever sends nothing, or begins a message and does not
	// complete it.
	loginTimeout          = 2 * time.Second
	partialMessageTimeout = 2 * time.Second
	clientIdleMargin      = time.Minute // beyond the longest client timeout; clients close sooner

	// lastLookTimeout is the time for what came to the socket while the process stood still, before a timeout is
	// judged: a read whose deadline has passed does not look.
	lastLookTimeout = 10 * time.Millisecond
)

// client is a client's connection. Without another note a field belongs to the goroutine that reads.
type client struct {
	server   *Server
	id       broker.Session
	conn     *netconn.Conn
	admitted chan struct{} // closed once the client may be greeted

	loggedIn      bool
	readTimeout   time.Duration
	readDeadline  time.Time // by which more must come
	lastLook      bool      // the deadline has passed, and the socket is looked at once more
	hasSubmitted  bool      // a request came on it
	finalTimeouts int       // final reads of a shutdown that found the socket empty

	lastReadAt   time.Duration // when the last read returned bytes
	receivedFrom time.Duration // the earliest time at which these may have come

	begun       atomic.Bool // a part of a message was received
	stopReading atomic.Bool // the reader is to stop and to say so; set by the loop

	// Owned by the loop.
	closeReason *netconn.EndError // why the connection is being closed from this side; nil: it is not
	fullyRead   bool              // the final reads are complete and all that came is with the reducer
}

func newClient(s *Server, id broker.Session, socket net.Conn) *client {
	return &client{
		server: s, id: id, admitted: make(chan struct{}),
		conn: netconn.New(socket, netconn.Options{
			MaxReceiveBytes: maxClientReceiveBytes, MaxSendBytes: maxClientSendBytes,
		}),
	}
}

// read greets a client once it is admitted, logs it in and hands its commands to the reducer, until its
// connection ends.
func (c *client) read(ctx context.Context) error {
	select {
	case <-c.admitted:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := c.greet(); err != nil {
		return err
	}
	c.readTimeout, c.lastReadAt = loginTimeout, clock.Now()
	if err := c.setReadTimeout(c.readTimeout); err != nil {
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
		if err := c.handlePackets(ctx); err != nil {
			return err
		}
		if err := c.updateReadTimeout(); err != nil {
			return err
		}
	}
}

// receive reads once and reports whether bytes came. The error is why the connection ends.
func (c *client) receive(ctx context.Context) (received bool, err error) {
	calledAt := clock.Now()
	if err := c.conn.ReadOnce(); err != nil {
		return false, c.readFailed(ctx, err)
	}
	c.noteReceived(calledAt, clock.Now())
	if c.conn.FinishedFor() != nil { // this side is shut down: what was read can't be answered
		c.server.post(ctx, func() { c.server.violated(invariant.NoReadAfterShutdown) })
	}
	return true, nil
}

// readFailed returns why the connection ends, or nil where the reader is to go on.
func (c *client) readFailed(ctx context.Context, err error) error {
	switch {
	case netconn.IsTimeout(err) && c.stopReading.Load():
		return c.stoppedReading(ctx)
	case netconn.IsTimeout(err) && time.Now().Before(c.readDeadline): // a shutdown looks whether something has come
		return c.finalRead()
	case netconn.IsTimeout(err) && !c.lastLook:
		c.lastLook = true
		return c.conn.SetReadDeadline(time.Now().Add(lastLookTimeout))
	case netconn.IsTimeout(err) && !c.loggedIn:
		return &netconn.EndError{Reason: netconn.LoginTimeout, Err: err}
	case netconn.IsTimeout(err) && c.begun.Load():
		return &netconn.EndError{Reason: netconn.ReadTimeout, Err: err}
	case errors.Is(err, io.EOF):
		return c.halfClosed(ctx, err)
	}
	return err
}

// handlePackets handles the complete packets that were received.
func (c *client) handlePackets(ctx context.Context) error {
	// The process may have stood still between the read and the question.
	newest := min(c.lastReadAt, clock.Now()-c.server.sinceReceived(c.conn.Socket()))
	for {
		seq, payload, size, err := mysql.ParsePacket(c.conn.Received.Bytes())
		if err != nil {
			return c.failProtocol(ctx, 1, mysql.CodeTooLarge, err)
		}
		if size == 0 {
			return nil
		}
		if c.loggedIn {
			sent := sendTime{sentAt: newest}
			if size < c.conn.Received.Len() {
				sent.waitingSince = min(newest, c.receivedFrom)
			}
			err = c.handleCommand(ctx, seq, payload, sent)
		} else {
			err = c.login(ctx, seq, payload)
		}
		c.conn.Received.Discard(size)
		if err != nil {
			return err
		}
	}
}

// updateReadTimeout sets the time by which more must come. It runs on until the login, or a message that
// has begun, is complete, however slowly more comes.
func (c *client) updateReadTimeout() error {
	partial := c.conn.Received.Len() > 0
	if !c.loggedIn || partial && c.begun.Load() {
		return nil
	}
	c.lastLook = false
	c.begun.Store(partial)
	if partial {
		c.readTimeout = partialMessageTimeout
	} else {
		c.readTimeout = c.server.maxClientTimeout() + clientIdleMargin
	}
	return c.setReadTimeout(c.readTimeout)
}

// setReadTimeout sets how long a client may be silent: while the listeners close, and no message has begun, no
// longer than the final reads take. One lock covers both, so that neither deadline overwrites the other.
func (c *client) setReadTimeout(within time.Duration) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readDeadline = time.Now().Add(within)
	deadline := c.readDeadline
	if c.server.readingOut && c.finalTimeouts < finalReads && c.conn.Received.Len() == 0 {
		deadline = time.Now().Add(min(within, finalReadTimeout))
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if c.stopReading.Load() { // set meanwhile
		return c.conn.SetReadDeadline(time.Now())
	}
	return nil
}

// finalRead goes on after a timeout ahead of the client's own, by which a shutdown looks whether something has come:
// a message that has begun keeps its time, and an empty socket is counted.
func (c *client) finalRead() error {
	if c.conn.Received.Len() == 0 && c.finalTimeouts < finalReads {
		c.finalTimeouts++
		if c.finalTimeouts == finalReads {
			c.server.post(c.server.ctx, func() { c.fullyRead = true })
		}
	}
	return c.setReadTimeout(time.Until(c.readDeadline))
}
