package server

import "time"

// drainTimer measures how long after the drain of an engine began the last byte queued for it by then is
// sent.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int           // connections with bytes from before the drain
	longest      time.Duration // that one of them needed so far
}

// connDone ends the wait for one connection, which needed a time, and reports whether it was the last.
func (d *drainTimer) connDone(needed time.Duration) (last bool) {
	d.longest = max(d.longest, needed)
	d.pendingConns--
	return d.pendingConns == 0
}

// drainTracker measures the drains of engines. The goroutine that owns the pool owns it.
type drainTracker struct {
	byEngine map[string]*drainTimer // until the engine is used again or removed
	meter    func() Meter           // the one in use
}

func newDrainTracker(meter func() Meter) drainTracker {
	return drainTracker{byEngine: map[string]*drainTimer{}, meter: meter}
}

// startDrain begins to measure the drain of an engine.
func (p *enginePool) startDrain(engine string) {
	p.drains.start(engine, p.connsByEngine[engine], p.post)
}

// start begins to measure the drain of an engine with these connections, unless it drains already. notify
// calls a function on the goroutine that owns the tracker.
func (t *drainTracker) start(engine string, conns []*engineConn, notify func(func())) {
	if t.byEngine[engine] != nil {
		return
	}
	drain := &drainTimer{startedAt: time.Now()}
	t.byEngine[engine] = drain
	t.meter().DrainStarted()
	for _, c := range conns {
		if c.transport == nil || c.transport.AllSent() {
			continue
		}
		drain.pendingConns++
		c.drain = drain
		c.transport.AfterSent(func() {
			sentAt := time.Now()
			notify(func() { t.connSent(c, sentAt) })
		})
	}
	if drain.pendingConns == 0 {
		t.meter().DrainCompleted(0)
	}
}

// forget ends the drain of an engine that is used again or was removed. Bytes from before it are still
// waited for.
func (t *drainTracker) forget(engine string) { delete(t.byEngine, engine) }

// connSent notes that a connection has sent all from before the drain of its engine.
func (t *drainTracker) connSent(c *engineConn, sentAt time.Time) {
	if c.drain != nil {
		t.connDone(c, sentAt.Sub(c.drain.startedAt))
	}
}

// connClosed notes that a connection has closed: it sends nothing more, and its time does not count.
func (t *drainTracker) connClosed(c *engineConn) {
	if c.drain != nil {
		t.connDone(c, 0)
	}
}

// connDone ends the wait for a connection.
func (t *drainTracker) connDone(c *engineConn, needed time.Duration) {
	drain := c.drain
	c.drain = nil
	if drain.connDone(needed) {
		t.meter().DrainCompleted(drain.longest)
	}
}
