package frontend

import (
	"context"
	"time"
)

const (
	// By the protocol a client is closed within 3 s that sends nothing, or begins a message and does not complete it.
	loginTimeout          = 2 * time.Second
	partialMessageTimeout = 2 * time.Second
	// clientIdleMargin is how long a client may be idle beyond the longest client timeout; clients close sooner.
	clientIdleMargin = time.Minute
	// lateReadTimeout is the time of a late read: one more read after a read deadline has passed. It finds what arrived
	// in time while the process stood still, as a read fails without looking once its deadline has passed.
	lateReadTimeout = 10 * time.Millisecond
)

// updateReadTimeout sets the time by which more must arrive. Until the login, or a message that has begun, is complete,
// the time set first stays, however slowly more arrives.
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
	return c.setReadTimeout(c.frontend.cfg.MaxClientTimeout() + clientIdleMargin)
}

// setReadTimeout sets how long a client may be silent. During the final reads of a shutdown a client without a partial
// message gets finalReadTimeout at most. The lock keeps BeginFinalReads and this from overwriting each other's
// deadline.
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
	if c.stopReading.Load() { // set meanwhile
		return c.conn.SetReadDeadline(time.Now())
	}
	return nil
}

// finalRead handles the end of a final read: a read of a shutdown that ended with its deadline. It counts the empty
// ones, and lets a message that has begun keep its deadline.
func (c *client) finalRead(ctx context.Context) error {
	if c.conn.Received.Len() == 0 && c.emptyFinalReads < finalReads {
		c.emptyFinalReads++
		if c.emptyFinalReads == finalReads {
			c.post(ctx, func() { c.fullyRead = true })
		}
	}
	return c.setReadTimeout(time.Until(c.readDeadline))
}
