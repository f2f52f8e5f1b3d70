package frontend

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// handleHalfClose ends the connection after the last replies have been sent, because a client that has closed its write
// side may still read.
func (c *client) handleHalfClose(ctx context.Context, err error) error {
	c.post(ctx, func() {
		c.frontend.events.Apply(broker.SessionHalfClosed{Session: c.session})
		c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.PeerClosed})
	})
	<-ctx.Done()
	return err
}

// failProtocol sends an error for a message that can't be parsed and ends the connection, because the messages after it
// can't be parsed either.
func (c *client) failProtocol(ctx context.Context, seq byte, code mysql.ErrorCode, err error) error {
	if _, full := c.conn.Write(mysql.AppendError(nil, seq, code, err.Error())); full != nil {
		return full
	}
	// Bytes that arrive from now on stay unread: the connection ends once the last reply has arrived at the client.
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.ReasonOf(err), Err: err})
	<-ctx.Done()
	return err
}

// close ends the connection once all commands that were read from it have been answered. It runs in the loop. Only the
// reason of the first call counts.
func (c *client) close(reason *netconn.EndError) {
	if c.closeReason != nil {
		return
	}
	c.closeReason = reason
	if !c.isAdmitted() { // nothing has been read
		c.conn.CloseAfterSent(reason)
		return
	}
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

// closeAfterReplies ends the connection once all commands that were read from it have been answered.
func (c *client) closeAfterReplies(ctx context.Context) error {
	c.post(ctx, func() { c.conn.CloseAfterSent(c.closeReason) })
	<-ctx.Done()
	return ctx.Err()
}
