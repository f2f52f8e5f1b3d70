package enginepool

import (
	"slices"
	"sync/atomic"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

// Pool holds the connections to engines and the attempts in flight on them.
type Pool struct {
	config   Config
	loop     Loop
	events   EventSink
	observer Observer

	connsByEngine  map[string][]*engineConn
	connCount      int // total of connsByEngine
	inFlight       map[broker.AttemptID]*stream
	drains         drainTracker
	sweptAt        time.Time
	dials          uint64
	livenessProbes uint64
	writesExpired  atomic.Bool // a write has expired since the last resendExpired; set by the goroutines that write
}

// New returns a pool without connections.
func New(config Config, loop Loop, events EventSink, observer Observer) *Pool {
	return &Pool{
		config: config, loop: loop, events: events, observer: observer,
		connsByEngine: map[string][]*engineConn{}, inFlight: map[broker.AttemptID]*stream{},
		drains: newDrainTracker(observer),
	}
}

// Config returns the configuration in force.
func (p *Pool) Config() Config { return p.config }

// Reconfigure replaces the configuration. Existing connections keep their timeouts.
func (p *Pool) Reconfigure(config Config) { p.config = config }

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	stats := Stats{Connections: p.connCount, Dials: p.dials, LivenessProbes: p.livenessProbes}
	for _, conns := range p.connsByEngine {
		for _, conn := range conns {
			stats.Streams += len(conn.streams)
		}
	}
	return stats
}

// CheckConnections resends attempts whose messages have expired in a send queue, and detects dead connections.
func (p *Pool) CheckConnections() {
	p.resendExpired()
	p.checkLiveness()
}

// CloseConnections closes the connections to an engine that were dialed before a time of the reducer, or all of them if
// dialedBefore is 0.
func (p *Pool) CloseConnections(engine string, dialedBefore time.Duration) {
	p.drains.end(engine)
	for _, conn := range slices.Clone(p.connsByEngine[engine]) {
		if dialedBefore == 0 || clock.At(conn.dialStarted) < dialedBefore {
			p.close(conn, netconn.EngineGone)
		}
	}
}

// assign adds a stream to a connection with capacity or to a new connection. If neither is available, the stream ends
// with AtCapacity, although the broker and not the engine lacks capacity: the engine must not be ejected as
// unreachable.
func (p *Pool) assign(engine, addr string, stream *stream) {
	stream.startedAt = time.Now()
	conn := p.connFor(engine, addr, stream)
	if conn == nil {
		if !p.ensureDialCapacity(engine) {
			p.endStream(stream, streamEnd{status: control.AtCapacity})
			return
		}
		conn = p.dial(engine, addr)
	}
	conn.add(stream)
	if conn.transport != nil {
		p.send(stream, stream.startedAt)
	}
}

// connFor returns a connection that accepts a stream, preferably an established one. It returns nil if there is none.
func (p *Pool) connFor(engine, addr string, stream *stream) *engineConn {
	var establishing *engineConn
	for _, conn := range p.connsByEngine[engine] {
		if !conn.accepts(stream.id, addr, p.config.MaxStreams) ||
			conn.idleTooLong(stream.startedAt, p.config.IdleTimeout) {
			continue
		}
		if conn.transport != nil {
			return conn
		}
		establishing = conn
	}
	return establishing
}

// ensureDialCapacity reports whether one more connection to an engine may be dialed. If the limit of all connections is
// reached, it evicts an idle one.
func (p *Pool) ensureDialCapacity(engine string) bool {
	if len(p.connsByEngine[engine]) >= p.config.maxConnsPerEngine() {
		return false
	}
	return p.connCount < p.config.MaxConns || p.evictIdle()
}

// evictIdle closes the connection that has been idle longest and reports whether an idle connection existed. Eviction
// is needed because there may be more engines than allowed connections.
func (p *Pool) evictIdle() bool {
	var longest *engineConn
	for _, conns := range p.connsByEngine {
		for _, conn := range conns {
			idle := conn.transport != nil && len(conn.streams) == 0
			if idle && (longest == nil || conn.lastUsed.Before(longest.lastUsed)) {
				longest = conn
			}
		}
	}
	if longest == nil {
		return false
	}
	p.close(longest, netconn.EvictedIdle)
	return true
}

// close closes a connection. All streams in flight on it end immediately, so that no response still in transit can be
// mistaken for the response to another stream.
func (p *Pool) close(conn *engineConn, reason netconn.Reason) {
	if conn.closed {
		return
	}
	conn.cancel(&netconn.EndError{Reason: reason})
	p.handleDisconnected(conn)
}

// handleDisconnected removes a connection that has ended from the pool and ends its streams.
func (p *Pool) handleDisconnected(conn *engineConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	p.drains.handleConnClosed(conn)
	p.connCount--
	rest := slices.DeleteFunc(p.connsByEngine[conn.engine], func(other *engineConn) bool { return other == conn })
	if p.connsByEngine[conn.engine] = rest; len(rest) == 0 {
		delete(p.connsByEngine, conn.engine)
	}
	p.endStreams(conn)
}
