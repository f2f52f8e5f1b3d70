package enginepool

import "time"

// drainTimer measures the drain of an engine: until the last byte that was queued for it as that began has left.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int           // connections with bytes from before the drain
	longest      time.Duration // that one of them took so far
}

// connDone ends the wait for one connection, which took a time, and reports whether it was the last.
func (d *drainTimer) connDone(took time.Duration) (last bool) {
	d.longest = max(d.longest, took)
	d.pendingConns--
	return d.pendingConns == 0
}

// drainTracker measures the drains of engines. The owner of the pool owns it.
type drainTracker struct {
	byEngine map[string]*drainTimer // until the engine is used again or removed
	observer Observer
}

func newDrainTracker(observer Observer) drainTracker {
	return drainTracker{byEngine: map[string]*drainTimer{}, observer: observer}
}

// start begins to measure the drain of an engine with these connections, unless it drains already. notify
// calls a function as the owner of the tracker.
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
			notify(func() { t.connSent(conn, sentAt) })
		})
	}
	if drain.pendingConns == 0 {
		t.observer.DrainCompleted(0)
	}
}

// end ends the drain of an engine that is used again or was removed. Bytes from before it are still waited for.
func (t *drainTracker) end(engine string) { delete(t.byEngine, engine) }

// connSent ends the wait for a connection that has sent all from before the drain of its engine.
func (t *drainTracker) connSent(conn *engineConn, sentAt time.Time) {
	if conn.drain != nil {
		t.connDone(conn, sentAt.Sub(conn.drain.startedAt))
	}
}

// connClosed ends the wait for a connection that has closed: it sends nothing more, and its time does not count.
func (t *drainTracker) connClosed(conn *engineConn) {
	if conn.drain != nil {
		t.connDone(conn, 0)
	}
}

// connDone ends the wait for a connection.
func (t *drainTracker) connDone(conn *engineConn, took time.Duration) {
	drain := conn.drain
	conn.drain = nil
	if drain.connDone(took) {
		t.observer.DrainCompleted(drain.longest)
	}
}
