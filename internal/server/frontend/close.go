package frontend

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// handleHalfClose ends a session whose client has closed its write side, because it may still read.
func (c *client) handleHalfClose(ctx context.Context, err error) error {
	return c.endInput(ctx, &netconn.EndError{Reason: netconn.PeerClosed, Err: err}, nil)
}

// failProtocol sends an error for a message that can't be parsed and ends the connection, because the messages after it
// can't be parsed either.
func (c *client) failProtocol(ctx context.Context, seq byte, code mysql.ErrorCode, err error) error {
	lastReply := mysql.AppendError(nil, seq, code, err.Error())
	return c.endInput(ctx, &netconn.EndError{Reason: netconn.ReasonOf(err), Err: err}, lastReply)
}

// endInput ends a session whose client will send no further command. All commands that were read are answered, in
// order; lastReply follows them unless it is empty. Then the connection ends. Bytes that arrive from now on stay
// unread.
func (c *client) endInput(ctx context.Context, reason *netconn.EndError, lastReply []byte) error {
	c.dropInput()
	c.post(ctx, func() {
		c.frontend.events.Apply(broker.SessionHalfClosed{Session: c.session})
		if len(lastReply) > 0 {
			_, _ = c.conn.Write(lastReply) // if the send queue is full, the connection ends without it
		}
		c.conn.CloseAfterSent(reason)
	})
	<-ctx.Done()
	return reason
}

// close ends the connection once all commands that were read from it have been answered. It runs in the loop. Only the
// reason of the first call counts.
func (c *client) close(reason *netconn.EndError) {
	if c.closeReason != nil {
		return
	}
	c.closeReason = reason
	if !c.isAdmitted() || c.inputEnded { // nothing is being read
		c.conn.CloseAfterSent(reason)
		return
	}
	c.readLast.Store(reason.Reason == netconn.EvictedIdle)
	c.stopReading.Store(true)
	_ = c.conn.SetReadDeadline(time.Now()) // fails only if the connection has closed
}

func (c *client) isAdmitted() bool {
	select {
	case <-c.admitted:
		return true
	default:
		return false
	}
}

// closeAfterReplies ends the connection once all commands that were read from it have been answered. What a client that
// is evicted had sent before is read first, and rejected: it would be lost otherwise.
func (c *client) closeAfterReplies(ctx context.Context) error {
	if c.readLast.Swap(false) {
		if err := c.readArrived(ctx); err != nil {
			return err
		}
	}
	c.dropInput()
	c.post(ctx, func() { c.conn.CloseAfterSent(c.closeReason) })
	<-ctx.Done()
	return ctx.Err()
}

// readNext reads a part of the bytes that have arrived, or rejects the message that fills the receive buffer. handled
// is false if it can do neither.
func (c *client) readNext(ctx context.Context) (handled bool, err error) {
	if c.conn.Received.Len() == c.conn.Received.Limit() {
		if !c.messageArrived() {
			return false, nil
		}
		return true, c.rejectMessage(ctx, mysql.PacketLen(c.conn.Received.Bytes()))
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
		return false, err
	}
	return c.receive(ctx)
}

// readArrived reads and handles the commands that have arrived. Of a message that is not complete nothing more is read.
func (c *client) readArrived(ctx context.Context) error {
	for {
		unread, known := unreadBytes(c.conn.Socket())
		if !known || unread == 0 {
			return nil
		}
		if handled, err := c.readNext(ctx); !handled || err != nil {
			return err
		}
		if err := c.handlePackets(ctx); err != nil {
			return err
		}
	}
}
