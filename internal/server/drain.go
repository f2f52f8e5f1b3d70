package server

import "time"

// drainTimer measures how long what was queued for an engine as it began to drain takes to be sent.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int           // connections with bytes from before the drain
	longest      time.Duration // that one of them took so far
}

// connDone takes the end of the wait for one connection, after a time. It reports whether it was the last.
func (d *drainTimer) connDone(took time.Duration) (last bool) {
	d.longest = max(d.longest, took)
	d.pendingConns--
	return d.pendingConns == 0
}

// startDrain begins to measure the drain of an engine. The drain of an engine that drains already is not
// restarted.
func (p *enginePool) startDrain(engine string) {
	if p.drains[engine] != nil {
		return
	}
	drain := &drainTimer{startedAt: time.Now()}
	p.drains[engine] = drain
	p.server.meter.DrainStarted()
	for _, c := range p.connsByEngine[engine] {
		if c.transport == nil || c.transport.allSent() {
			continue
		}
		drain.pendingConns++
		c.drain = drain
		c.transport.afterSent(func() {
			sentAt := time.Now()
			p.post(func() { p.drainSent(c, sentAt) })
		})
	}
	if drain.pendingConns == 0 {
		p.server.meter.DrainCompleted(0)
	}
}

// drainSent takes that a connection has sent all from before the drain of its engine.
func (p *enginePool) drainSent(c *engineConn, sentAt time.Time) {
	if c.drain != nil {
		p.endDrain(c, sentAt.Sub(c.drain.startedAt))
	}
}

// drainClosed takes that a connection closed: it sends nothing more, and its time does not count.
func (p *enginePool) drainClosed(c *engineConn) {
	if c.drain != nil {
		p.endDrain(c, 0)
	}
}

// endDrain ends the wait for one connection.
func (p *enginePool) endDrain(c *engineConn, took time.Duration) {
	drain := c.drain
	c.drain = nil
	if drain.connDone(took) {
		p.server.meter.DrainCompleted(drain.longest)
	}
}
