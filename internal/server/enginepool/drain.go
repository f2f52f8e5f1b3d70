package enginepool

import "time"

// drainTimer measures the drain of an engine: the time until all bytes that were queued at its start have been sent.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int           // connections with unsent bytes from before the drain
	longest      time.Duration // longest time of a connection so far
}

// connDone records the time that one connection took, and reports whether it was the last pending one.
func (d *drainTimer) connDone(took time.Duration) (last bool) {
	d.longest = max(d.longest, took)
	d.pendingConns--
	return d.pendingConns == 0
}

// drainTracker measures the drains of engines. It belongs to the owner of the pool.
type drainTracker struct {
	byEngine map[string]*drainTimer // entries exist until the engine is used again or removed
	observer Observer
}

func newDrainTracker(observer Observer) drainTracker {
	return drainTracker{byEngine: map[string]*drainTimer{}, observer: observer}
}

// start begins to measure the drain of an engine with these connections, unless the engine is already draining. notify
// schedules a function to be called by the owner of the pool.
func (t *drainTracker) start(engine string, conns []*engineConn, notify func(func())) {
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
			notify(func() { t.handleConnSent(conn, sentAt) })
		})
	}
	if drain.pendingConns == 0 {
		t.observer.DrainCompleted(0)
	}
}

// end ends the drain of an engine that is used again or was removed. The measurement of bytes from before the drain
// continues.
func (t *drainTracker) end(engine string) { delete(t.byEngine, engine) }

// handleConnSent completes a connection that has sent all bytes from before the drain of its engine.
func (t *drainTracker) handleConnSent(conn *engineConn, sentAt time.Time) {
	if conn.drain != nil {
		t.connDone(conn, sentAt.Sub(conn.drain.startedAt))
	}
}

// handleConnClosed completes a connection that has closed: it sends no more bytes, and its time does not count.
func (t *drainTracker) handleConnClosed(conn *engineConn) {
	if conn.drain != nil {
		t.connDone(conn, 0)
	}
}

// connDone completes a connection and reports the drain if the connection was the last pending one.
func (t *drainTracker) connDone(conn *engineConn, took time.Duration) {
	drain := conn.drain
	conn.drain = nil
	if drain.connDone(took) {
		t.observer.DrainCompleted(drain.longest)
	}
}
