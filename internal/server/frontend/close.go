package frontend

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// halfClosed has the last answers sent before the connection ends, as a client that writes nothing more may
// still read.
func (c *client) halfClosed(ctx context.Context, err error) error {
	c.post(ctx, func() {
		c.frontend.events.Apply(broker.SessionHalfClosed{Session: c.session})
		c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.PeerClosed})
	})
	<-ctx.Done()
	return err
}

// failProtocol answers what can't be read and ends the connection, as nothing after it can be read.
func (c *client) failProtocol(ctx context.Context, seq byte, code int, err error) error {
	if _, full := c.conn.Write(mysql.AppendError(nil, seq, code, err.Error())); full != nil {
		return full
	}
	// What comes from now on stays unread: the end of the connection waits until its last answer has arrived.
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.ReasonOf(err), Err: err})
	<-ctx.Done()
	return err
}

// close ends the connection from this side, once all that was read from it is answered. It runs in the loop. The first
// reason counts.
func (c *client) close(reason *netconn.EndError) {
	if c.closeReason != nil {
		return
	}
	c.closeReason = reason
	if !c.isAdmitted() { // nothing is read from it
		c.conn.CloseAfterSent(reason)
		return
	}
	c.stopReading.Store(true)
	_ = c.conn.SetReadDeadline(time.Now()) // fails only on one that has closed
}

func (c *client) isAdmitted() bool {
	select {
	case <-c.admitted:
		return true
	default:
		return false
	}
}

// stoppedReading has the connection end behind all that was read from it.
func (c *client) stoppedReading(ctx context.Context) error {
	c.post(ctx, func() { c.conn.CloseAfterSent(c.closeReason) })
	<-ctx.Done()
	return ctx.Err()
}
