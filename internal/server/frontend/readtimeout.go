package frontend

import (
	"context"
	"time"

	"wheatlane/internal/broker"
)

const (
	// By the protocol, a client that connects and sends nothing, or that does not complete a message, is disconnected
	// within 3 s.
	loginTimeout          = 2 * time.Second
	partialMessageTimeout = 2 * time.Second
	// clientIdleSlack is added to the longest client timeout to obtain the idle timeout; clients close idle connections
	// sooner.
	clientIdleSlack = time.Minute
	// lateReadTimeout is the timeout of a late read: one more read after a read deadline has passed. It finds bytes that
	// arrived in time during a process pause, because a read whose deadline has passed fails without accessing the socket.
	lateReadTimeout = 10 * time.Millisecond
)

// updateReadTimeout sets the time by which more bytes must arrive. While the login or a partially received message is
// incomplete, the first deadline does not change, however slowly more bytes arrive.
func (c *client) updateReadTimeout() error {
	partial := c.conn.Received.Len() > 0
	if !c.loggedIn || partial && c.messageBegun.Load() {
		return nil
	}
	c.lateRead = false
	c.messageBegun.Store(partial)
	if partial {
		return c.setReadTimeout(partialMessageTimeout)
	}
	return c.setReadTimeout(c.frontend.cfg.MaxClientTimeout() + clientIdleSlack)
}

// setReadTimeout sets the time within which a client must send more bytes. During the final reads of a shutdown, a
// client without a partial message gets at most finalReadTimeout. The lock prevents setReadTimeout and BeginFinalReads
// from overwriting each other's deadline.
func (c *client) setReadTimeout(within time.Duration) error {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	c.readDeadline = time.Now().Add(within)
	deadline := c.readDeadline
	if c.frontend.finalReads && c.emptyFinalReads < finalReads && c.conn.Received.Len() == 0 {
		deadline = time.Now().Add(min(within, finalReadTimeout))
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if c.stopReading.Load() || c.abandoned.Load() { // may have been set concurrently
		return c.conn.SetReadDeadline(time.Now())
	}
	return nil
}

// handleFinalReadTimeout handles a final read that timed out. It counts the reads that found the socket empty, and
// restores the deadline of a partially received message.
func (c *client) handleFinalReadTimeout(ctx context.Context) error {
	if c.conn.Received.Len() == 0 && c.emptyFinalReads < finalReads {
		c.emptyFinalReads++
		if c.emptyFinalReads == finalReads {
			c.post(ctx, func() { c.fullyRead = true })
		}
	}
	return c.setReadTimeout(time.Until(c.readDeadline))
}

// handlePartialMessageTimeout reports to the reducer that a message is still incomplete. The reducer closes the session
// unless a request is open, which it answers first; the message gets another timeout.
func (c *client) handlePartialMessageTimeout(ctx context.Context) error {
	c.apply(ctx, broker.MessageTimedOut{Session: c.session})
	c.lateRead = false
	return c.setReadTimeout(partialMessageTimeout)
}
