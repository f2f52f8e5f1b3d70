package enginepool

import (
	"slices"
	"time"

	"wheatlane/internal/server/netconn"
)

// livenessTimeout is the time within which an engine must respond to a liveness probe.
const livenessTimeout = 250 * time.Millisecond

// livenessChange is the result of a liveness check of an established connection.
type livenessChange int

const (
	livenessUnchanged livenessChange = iota
	livenessConfirmed                // a response arrived since the connection was suspected: it is alive
	livenessSuspected                // the connection is suspected from now on and must be probed
	livenessLost                     // the connection was probed and no response arrived in time
)

// checkLiveness probes connections that have an overdue response and have received nothing for long, and closes those
// that stay silent. If an engine's machine fails, or a response stops in the middle, the connection stays open and
// silent. After the close a new connection is dialed, which shows whether the engine is reachable.
func (p *Pool) checkLiveness() {
	now := time.Now()
	for _, conns := range p.connsByEngine {
		for _, conn := range slices.Clone(conns) {
			if conn.transport != nil {
				p.checkConn(conn, now)
			}
		}
	}
}

// checkConn checks one established connection.
func (p *Pool) checkConn(conn *engineConn, now time.Time) {
	switch conn.livenessState().evaluate(now, p.config.SilenceThreshold) {
	case livenessUnchanged:
	case livenessConfirmed:
		conn.suspectSince = time.Time{}
	case livenessSuspected:
		p.suspect(conn, now)
	case livenessLost:
		if p.mayCloseSilent() {
			p.close(conn, netconn.Retired)
		}
	}
}

// livenessState holds the inputs of a liveness check of a connection.
type livenessState struct {
	lastReceived time.Time // when the last response arrived, or when the connection was established
	suspectSince time.Time // since when the connection is suspected to be dead; zero if it is not
	overdueAt    time.Time // when the first pending response is overdue; zero if none is pending
}

// evaluate returns the result of a liveness check at a time. A connection is suspected only if a response is overdue
// and nothing was received for longer than the threshold: a slow response does not indicate a dead engine, and if
// connections with long queries in flight were probed, every engine would receive probes from every broker.
func (l livenessState) evaluate(now time.Time, silenceThreshold time.Duration) livenessChange {
	suspected := !l.suspectSince.IsZero()
	overdue := !l.overdueAt.IsZero() && now.After(l.overdueAt)
	switch {
	case suspected && l.lastReceived.After(l.suspectSince):
		return livenessConfirmed
	case suspected && now.Sub(l.suspectSince) > livenessTimeout:
		return livenessLost
	case !suspected && overdue && now.Sub(l.lastReceived) > silenceThreshold:
		return livenessSuspected
	}
	return livenessUnchanged
}

// livenessState returns the inputs of a liveness check of the connection.
func (c *engineConn) livenessState() livenessState {
	return livenessState{lastReceived: c.lastReceived, suspectSince: c.suspectSince, overdueAt: c.firstOverdueAt()}
}

// suspect marks a connection as possibly dead: it accepts no new streams until a response is received, and is probed if
// liveness probes are allowed. Unless both probes and hedging are allowed, it stays open until no streams are in flight
// on it.
func (p *Pool) suspect(conn *engineConn, now time.Time) {
	conn.suspectSince = now
	if p.livenessProbesAllowed() {
		p.livenessProbes++
		p.sendCommand(conn, commandLiveness, livenessID)
	}
}

// suspectIfSilent suspects a connection of which a stream is cancelled if both the silence of the connection and the
// age of the stream exceed the threshold: the stream may have been lost with its engine's machine.
func (p *Pool) suspectIfSilent(conn *engineConn, stream *stream) {
	now := time.Now()
	threshold := p.config.SilenceThreshold
	silent := now.Sub(conn.lastReceived) > threshold && now.Sub(stream.startedAt) > threshold
	if !conn.closed && conn.suspectSince.IsZero() && silent {
		p.suspect(conn, now)
	}
}

// livenessProbesAllowed reports whether liveness probes may be sent. By the protocol they count as load probes.
func (p *Pool) livenessProbesAllowed() bool { return p.config.LoadProbes }

// mayCloseSilent reports whether a silent connection may be closed while attempts are in flight. An engine behind a
// network partition does not detect the close and continues: a retry would run concurrently with the attempt, which the
// deployment must allow.
func (p *Pool) mayCloseSilent() bool { return p.livenessProbesAllowed() && p.config.Hedging }

// firstOverdueAt returns when the first pending response is overdue; zero if none is pending.
func (c *engineConn) firstOverdueAt() time.Time {
	var first time.Time
	for _, stream := range c.streams {
		if at := stream.startedAt.Add(stream.overdueAfter); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
