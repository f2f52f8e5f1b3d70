package server

import (
	"slices"
	"sync/atomic"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

const (
	engineSocketDivisor   = 4  // connections to engines get the limit of sockets divided by this
	defaultConnsPerEngine = 8  // connections to one engine, more where each takes few streams
	minStreamsPerEngine   = 64 // streams that one engine can be sent at once, however few a connection takes
)

// enginePool holds the connections to engines and the attempts in flight on them. The goroutine that owns
// the reducer owns it; the goroutines of connections post to that one.
type enginePool struct {
	server        *Server
	connsByEngine map[string][]*engineConn
	connCount     int // in connsByEngine
	inFlight      map[broker.AttemptID]*stream
	drains        drainTracker
	writesExpired atomic.Bool // on any connection, since resendExpired was called last; set by the writers
}

func newEnginePool(s *Server) *enginePool {
	return &enginePool{
		server: s, connsByEngine: map[string][]*engineConn{},
		inFlight: map[broker.AttemptID]*stream{}, drains: newDrainTracker(func() Meter { return s.meter }),
	}
}

// post hands f to the goroutine that owns the pool.
func (p *enginePool) post(f func()) { p.server.post(p.server.ctx, f) }

// assign puts a stream on a connection with capacity or on a new one. Where neither can be had, the stream
// ends: it is this broker that has no capacity, so the engine is not to be ejected as one that can't be
// reached.
func (p *enginePool) assign(engine, addr string, s *stream) {
	s.startedAt = time.Now()
	c := p.connFor(engine, addr, s)
	if c == nil {
		if !p.mayDial(engine) {
			p.endStream(s, streamEnd{status: control.AtCapacity})
			return
		}
		c = p.dial(engine, addr)
	}
	c.add(s)
	if c.transport != nil {
		p.send(s, s.startedAt)
	}
}

// connFor returns a connection that accepts a stream, an established one if there is any; nil without one.
func (p *enginePool) connFor(engine, addr string, s *stream) *engineConn {
	settings := &p.server.cfg.Settings
	var establishing *engineConn
	for _, c := range p.connsByEngine[engine] {
		if !c.accepts(s.id, addr, settings.MaxStreams) || c.idleTooLong(s.startedAt, settings.ConnIdleTimeout) {
			continue
		}
		if c.transport != nil {
			return c
		}
		establishing = c
	}
	return establishing
}

// mayDial reports whether one more connection to an engine can be had, and evicts an idle one if it must.
func (p *enginePool) mayDial(engine string) bool {
	if len(p.connsByEngine[engine]) >= p.maxConnsPerEngine() {
		return false
	}
	return p.connCount < p.server.cfg.Sockets/engineSocketDivisor || p.evictIdle()
}

// maxConnsPerEngine is how many connections one engine gets. Deployments whose connections take few streams
// each need more, or their engines would count as unreachable.
func (p *enginePool) maxConnsPerEngine() int {
	streams := p.server.cfg.Settings.MaxStreams
	return max(defaultConnsPerEngine, (minStreamsPerEngine+streams-1)/streams)
}

// evictIdle closes the connection that has been idle longest and reports whether there was one: there may
// be more engines than the limit of sockets allows connections.
func (p *enginePool) evictIdle() bool {
	var longest *engineConn
	for _, conns := range p.connsByEngine {
		for _, c := range conns {
			idle := c.transport != nil && len(c.streams) == 0
			if idle && (longest == nil || c.lastUsed.Before(longest.lastUsed)) {
				longest = c
			}
		}
	}
	if longest == nil {
		return false
	}
	p.close(longest, netconn.EvictedIdle)
	return true
}

// send queues a stream's message, as it is now, on its connection. It is the one place where attempts leave for
// engines: one whose time is over, or that has waited for as long as it may, does not.
func (p *enginePool) send(s *stream, now time.Time) {
	if !s.isProbe() && (s.timeLeft(now) <= 0 || now.Sub(s.startedAt) >= p.maxSendDelay()) {
		p.removeStream(s)
		p.endStream(s, streamEnd{status: control.NeverSent})
		return
	}
	offset, err := s.conn.transport.WriteExpiring(s.message(now), s.expiresAt(now, p.maxSendDelay()))
	s.offset, s.queued = offset, true
	if err != nil { // the queue is full, so nothing of it leaves
		p.removeStream(s)
		p.endStream(s, streamEnd{status: control.ConnectFailed})
	}
}

// maxSendDelay is how long after its start an attempt may leave: it waits for its connection, and then behind other
// bytes.
func (p *enginePool) maxSendDelay() time.Duration {
	settings := &p.server.cfg.Settings
	return settings.ConnectTimeout + engineSendDelay(settings.DrainGrace)
}

// resendExpired sends the attempts anew whose messages were withdrawn because they had waited too long. It is called
// in each round, so that it looks at the connections only if there is something to find.
func (p *enginePool) resendExpired() {
	if !p.writesExpired.Swap(false) {
		return
	}
	for _, conns := range p.connsByEngine {
		for _, c := range slices.Clone(conns) {
			if c.transport != nil {
				p.resendExpiredOn(c)
				p.reportLateWrites(c)
			}
		}
	}
}

func (p *enginePool) resendExpiredOn(c *engineConn) {
	expired := c.transport.TakeExpired()
	if len(expired) == 0 {
		return
	}
	for _, s := range c.inOrder() {
		if s.done || s.cancelling || !slices.Contains(expired, s.offset) {
			continue
		}
		for _, offset := range s.followUps {
			c.transport.Withdraw(offset) // the new message has its own
		}
		s.followUps, s.queued = nil, false
		p.send(s, time.Now())
	}
}

// sendCommand queues a command that nothing answers, or whose answer belongs to a stream, and returns its
// offset.
func (p *enginePool) sendCommand(c *engineConn, cmd command, id string, args ...string) int64 {
	offset, err := c.transport.Write(appendCommand(nil, cmd, id, args...))
	if err != nil {
		p.close(c, netconn.BufferFull)
	}
	return offset
}

// removeStream removes a stream from its connection, which closes if it only waited for that.
func (p *enginePool) removeStream(s *stream) {
	c := s.conn
	delete(c.streams, s.id)
	suspected := !c.suspectSince.IsZero() && !p.mayCloseSilent()
	if len(c.streams) == 0 && (c.closing || suspected) {
		p.close(c, netconn.Retired)
	}
}

// withdraw cancels a stream of which no byte has left, without notifying the engine; false if one may have.
func (p *enginePool) withdraw(s *stream) bool {
	if !s.conn.withdraw(s) {
		return false
	}
	p.removeStream(s)
	return true
}

// endStream notifies the reducer of the end of a stream, once.
func (p *enginePool) endStream(s *stream, end streamEnd) {
	if s.done {
		return
	}
	s.done = true
	if s.isProbe() {
		p.server.enqueue(broker.ProbeResult{ProbeID: s.probeID, Status: end.status})
		return
	}
	delete(p.inFlight, s.attemptID)
	p.server.enqueue(broker.AttemptEnded{Attempt: s.attemptID, Status: end.status, SharedCause: end.sharedCause})
}

// close ends a connection from this side. All that is in flight on it ends at once, so that no response
// that is on its way can be mistaken for one to another stream.
func (p *enginePool) close(c *engineConn, reason netconn.Reason) {
	if c.closed {
		return
	}
	c.closeReason = &netconn.EndError{Reason: reason}
	c.cancel()
	p.disconnected(c)
}

// closeConnections closes the connections to an engine that were dialled before a time of the reducer, all of them if
// it is 0.
func (p *enginePool) closeConnections(engine string, dialledBefore time.Duration) {
	p.drains.forget(engine)
	for _, c := range slices.Clone(p.connsByEngine[engine]) {
		if dialledBefore == 0 || clock.At(c.dialStarted) < dialledBefore {
			p.close(c, netconn.EngineGone)
		}
	}
}

// disconnected removes a connection that has ended from the pool and ends its streams.
func (p *enginePool) disconnected(c *engineConn) {
	if c.closed {
		return
	}
	c.closed = true
	p.drains.connClosed(c)
	p.connCount--
	rest := slices.DeleteFunc(p.connsByEngine[c.engine], func(other *engineConn) bool { return other == c })
	if p.connsByEngine[c.engine] = rest; len(rest) == 0 {
		delete(p.connsByEngine, c.engine)
	}
	p.endStreams(c)
}

// endStreams ends the streams of a connection that has closed. One attempt is enough to report a fault of
// the engine: all of them ended for the same cause.
func (p *enginePool) endStreams(c *engineConn) {
	leftBytes := int64(-1)
	var expired []int64
	if c.transport != nil {
		leftBytes, expired = c.transport.WithdrawAll(), c.transport.TakeExpired()
	}
	streams := c.inOrder()
	clear(c.streams)
	reported := false
	for _, s := range streams {
		switch {
		case s.cancelling: // the end of its connection notifies the engine as well
			p.endStream(s, streamEnd{status: control.Cancelled})
			continue
		case s.neverSent(leftBytes) || slices.Contains(expired, s.offset): // it never ran
			p.endStream(s, streamEnd{c.neverSentStatus(), reported})
		default:
			p.endStream(s, streamEnd{control.ConnectionReset, reported})
		}
		reported = reported || !s.isProbe()
	}
}
