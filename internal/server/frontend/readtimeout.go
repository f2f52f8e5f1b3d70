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
	// lateReadTimeout is the time for reading what arrived before a deadline that passed while the process stood
	// still: a read whose deadline has passed does not look.
	lateReadTimeout = 10 * time.Millisecond
)

// updateReadTimeout sets the time by which more must arrive. It runs on until the login, or a message that has begun, is
// complete, however slowly more arrives.
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

// setReadTimeout sets how long a client may be silent: during the final reads, where no message has begun, no longer
// than these take. One lock covers both, so that neither deadline overwrites the other.
func (c *client) setReadTimeout(within time.Duration) error {
	c.frontend.mu.Lock()
	defer c.frontend.mu.Unlock()
	c.readDeadline = time.Now().Add(within)
	deadline := c.readDeadline
	if c.frontend.finalReads && c.emptyFinalRead < finalReads && c.conn.Received.Len() == 0 {
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

// finalRead goes on after the deadline of a final read: an empty socket is counted, and a message that has begun keeps
// its time.
func (c *client) finalRead(ctx context.Context) error {
	if c.conn.Received.Len() == 0 && c.emptyFinalRead < finalReads {
		c.emptyFinalRead++
		if c.emptyFinalRead == finalReads {
			c.post(ctx, func() { c.fullyRead = true })
		}
	}
	return c.setReadTimeout(time.Until(c.readDeadline))
}
