package enginepool

import "time"

// drainTimer measures the drain of an engine: the time until all bytes that were queued at its start have been sent.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int           // connections with unsent bytes from before the drain
	longest      time.Duration // longest time of a connection so far
}

// connDone records the time that one connection took, and reports whether no other connection is pending.
func (d *drainTimer) connDone(took time.Duration) (last bool) {
	d.longest = max(d.longest, took)
	d.pendingConns--
	return d.pendingConns == 0
}

// drainTracker measures the drains of engines. It belongs to the owner of the pool.
type drainTracker struct {
	byEngine map[string]*drainTimer // until the engine is used again or removed
	observer Observer
}

func newDrainTracker(observer Observer) drainTracker {
	return drainTracker{byEngine: map[string]*drainTimer{}, observer: observer}
}

// start begins to measure the drain of an engine with these connections, unless the engine is already draining. post
// schedules a function to be called by the owner of the pool.
func (t *drainTracker) start(engine string, conns []*engineConn, post func(func())) {
	if t.byEngine[engine] != nil {
		return
	}
	drain := &drainTimer{startedAt: time.Now()}
	t.byEngine[engine] = drain
	t.observer.DrainStarted()
	for _, conn := range conns {
		if conn.transport == nil || conn.transport.AllSent() {
			continue
		}
		drain.pendingConns++
		conn.drain = drain
		conn.transport.AfterSent(func() {
			sentAt := time.Now()
			post(func() { t.handleConnSent(conn, sentAt) })
		})
	}
	if drain.pendingConns == 0 {
		t.observer.DrainCompleted(0)
	}
}

// end ends the drain of an engine that is used again or was removed, so that its next drain is measured as well. A
// measurement in progress continues: connections with unsent bytes from before the drain still refer to it.
func (t *drainTracker) end(engine string) { delete(t.byEngine, engine) }

// handleConnSent records that a connection has sent all bytes from before the drain of its engine.
func (t *drainTracker) handleConnSent(conn *engineConn, sentAt time.Time) {
	if conn.drain != nil {
		t.connDone(conn, sentAt.Sub(conn.drain.startedAt))
	}
}

// handleConnClosed records that a connection has closed: it sends no more bytes, and its time does not count.
func (t *drainTracker) handleConnClosed(conn *engineConn) {
	if conn.drain != nil {
		t.connDone(conn, 0)
	}
}

// connDone ends the measurement of a connection, and reports the duration of the drain if no other connection is
// pending.
func (t *drainTracker) connDone(conn *engineConn, took time.Duration) {
	drain := conn.drain
	conn.drain = nil
	if drain.connDone(took) {
		t.observer.DrainCompleted(drain.longest)
	}
}
