package enginepool

import (
	"slices"
	"time"

	"wheatlane/internal/server/netconn"
)

// livenessTimeout is how long an engine has to answer a liveness probe.
const livenessTimeout = 250 * time.Millisecond

// livenessVerdict is what follows for an established connection from what was received on it.
type livenessVerdict int

const (
	livenessUnchanged livenessVerdict = iota // nothing changes
	livenessConfirmed                        // a response came since it was suspected: it is alive
	livenessSuspected                        // it is suspect from now on, and probed
	livenessLost                             // it was probed and received nothing in time
)

// checkLiveness probes connections on which a response is overdue and nothing was received for long, and closes those
// that stay silent. Engines whose machine vanished, and responses that stop and never continue, leave a connection open
// and silent. Closing it has a new one dialed, or proves that the engine can't be reached.
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

// checkConn looks at one established connection.
func (p *Pool) checkConn(conn *engineConn, now time.Time) {
	switch conn.liveness().judge(now, p.config.SilenceThreshold) {
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

// liveness is what shows whether a connection is alive.
type liveness struct {
	lastReceived time.Time // when something came on it last, or when it was established
	suspectSince time.Time // since when it is suspected to be dead; zero: it is not
	overdueAt    time.Time // when the first response owed on it is overdue; zero: none is owed
}

// judge returns what follows at a time. A connection is suspected only once a response is overdue and nothing came
// for longer than the threshold: a response that takes long is no sign of a dead engine, and probing each connection
// with long queries in flight would cost every engine messages from every broker.
func (l liveness) judge(now time.Time, silenceThreshold time.Duration) livenessVerdict {
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

// liveness returns what is known of the connection.
func (c *engineConn) liveness() liveness {
	return liveness{lastReceived: c.lastReceived, suspectSince: c.suspectSince, overdueAt: c.firstOverdueAt()}
}

// suspect marks a connection as one that may be dead: it accepts no new streams until something is received on it. It
// is probed where that is allowed. Where probes or hedging are not, it stays until all in flight on it has ended.
func (p *Pool) suspect(conn *engineConn, now time.Time) {
	conn.suspectSince = now
	if p.livenessProbesAllowed() {
		p.livenessProbes++
		p.sendCommand(conn, commandLiveness, livenessID)
	}
}

// suspectIfSilent suspects a connection that has been silent for long as a stream is cancelled that is as
// old: the stream may have been lost with its engine's machine.
func (p *Pool) suspectIfSilent(conn *engineConn, stream *stream) {
	now := time.Now()
	threshold := p.config.SilenceThreshold
	silent := now.Sub(conn.lastReceived) > threshold && now.Sub(stream.startedAt) > threshold
	if !conn.closed && conn.suspectSince.IsZero() && silent {
		p.suspect(conn, now)
	}
}

// livenessProbesAllowed reports whether engines may be probed for liveness: the protocol counts that as a load probe.
func (p *Pool) livenessProbesAllowed() bool { return p.config.LoadProbes }

// mayCloseSilent reports whether a connection may be closed for its silence with attempts in flight. An
// engine that was cut off does not notice the close and goes on: a retry would run beside the attempt,
// which the deployment must allow.
func (p *Pool) mayCloseSilent() bool { return p.livenessProbesAllowed() && p.config.Hedging }

// firstOverdueAt is when the first response of those owed is overdue; zero if none is owed.
func (c *engineConn) firstOverdueAt() time.Time {
	var first time.Time
	for _, stream := range c.streams {
		if at := stream.startedAt.Add(stream.overdueAfter); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
