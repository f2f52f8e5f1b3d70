package server

import (
	"slices"
	"time"

	"wheatlane/internal/server/netconn"
)

const (
	silenceThreshold = 500 * time.Millisecond // a connection that received nothing for longer may be dead
	livenessTimeout  = 250 * time.Millisecond // an engine answers a liveness check by then
)

// livenessVerdict is the result of a liveness check of an established connection.
type livenessVerdict int

const (
	livenessUnchanged livenessVerdict = iota // nothing changes
	livenessConfirmed                        // a response came since it was suspected: it is alive
	livenessSuspected                        // it is suspected from now on, and checked
	livenessLost                             // it was checked and did not answer in time
)

// checkLiveness suspects connections on which a response is overdue and nothing was received for long, and
// closes those that do not answer a check. Engines whose machine vanished, and responses that stop for
// good, leave a connection open and silent; closing it lets a new one be established, or prove that nothing
// ran.
func (p *enginePool) checkLiveness() {
	now := time.Now()
	for _, conns := range p.connsByEngine {
		for _, c := range slices.Clone(conns) {
			if c.transport != nil {
				p.checkConn(c, now)
			}
		}
	}
}

// checkConn looks at one established connection.
func (p *enginePool) checkConn(c *engineConn, now time.Time) {
	switch judgeLiveness(now, c.lastReceived, c.suspectSince, c.firstOverdueAt()) {
	case livenessUnchanged:
	case livenessConfirmed:
		c.suspectSince = time.Time{}
	case livenessSuspected:
		p.suspect(c, now)
	case livenessLost:
		if p.mayCloseSilent() {
			p.close(c, netconn.Retired)
		}
	}
}

// judgeLiveness looks at a connection that last received something at lastReceived, is suspected since
// suspectSince (zero: it is not) and whose first response is overdue from overdueAt on (zero: none is
// owed). It is suspected only once a response is overdue: one that takes long is no sign of a dead engine,
// and a check of every connection with long queries in flight costs each engine a message from every broker
// every half second. (Measured on fleet days at size: a probe price of 0.05 of G on join+vast.)
func judgeLiveness(now, lastReceived, suspectSince, overdueAt time.Time) livenessVerdict {
	suspected := !suspectSince.IsZero()
	overdue := !overdueAt.IsZero() && now.After(overdueAt)
	switch {
	case suspected && lastReceived.After(suspectSince):
		return livenessConfirmed
	case suspected && now.Sub(suspectSince) > livenessTimeout:
		return livenessLost
	case !suspected && overdue && now.Sub(lastReceived) > silenceThreshold:
		return livenessSuspected
	}
	return livenessUnchanged
}

// suspect notes that a connection may be dead, and checks that where it is allowed: it accepts no new
// streams until something is received on it. A check is a probe by the protocol. Where probes are
// forbidden, or hedging is, the connection stays until all in flight on it has ended.
func (p *enginePool) suspect(c *engineConn, now time.Time) {
	c.suspectSince = now
	if p.livenessProbesAllowed() {
		p.server.usage.LivenessProbes++
		p.sendCommand(c, commandLiveness, livenessID)
	}
}

// suspectIfSilent suspects a connection that has been silent for long as a stream is cancelled that is as
// old: the stream may have been lost with its engine's machine.
func (p *enginePool) suspectIfSilent(c *engineConn, s *stream) {
	now := time.Now()
	silent := now.Sub(c.lastReceived) > silenceThreshold && now.Sub(s.startedAt) > silenceThreshold
	if !c.closed && c.suspectSince.IsZero() && silent {
		p.suspect(c, now)
	}
}

// livenessProbesAllowed reports whether an engine may be asked whether it is alive.
func (p *enginePool) livenessProbesAllowed() bool {
	return p.server.cfg.Settings.Control.Limits.LoadProbes
}

// mayCloseSilent reports whether a connection may be closed for its silence with attempts in flight. An
// engine that was cut off does not notice the close and goes on: a retry would run beside the attempt,
// which the deployment must allow. (Measured: closing where it does not broke the rule on duplicates on one
// of 22 split+brink days of hobart-main.)
func (p *enginePool) mayCloseSilent() bool {
	return p.livenessProbesAllowed() && p.server.cfg.Settings.Control.Limits.Hedging
}

// firstOverdueAt is when the first response of those owed is overdue; zero if none is owed.
func (c *engineConn) firstOverdueAt() time.Time {
	var first time.Time
	for _, s := range c.streams {
		if at := s.startedAt.Add(s.overdueAfter); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
