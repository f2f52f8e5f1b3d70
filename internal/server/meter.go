package server

import (
	"context"
	"sync/atomic"
	"time"

	"wheatlane/internal/broker"
)

// Meter is told of what happens. Its methods are called on the goroutine that owns the reducer.
type Meter interface {
	broker.Meter
	// DuplicateResponse says that an engine answered what nothing waits for.
	DuplicateResponse(engine string)
	// DrainStarted says that the change log told of an engine that drains.
	DrainStarted()
	// DrainCompleted says how long after that the last byte left for the engine.
	DrainCompleted(took time.Duration)
	// LoopLag says how long after it was due the reducer's goroutine came to its turn. It may be negative.
	LoopLag(d time.Duration)
	// InboxLength says how many events waited at the turn.
	InboxLength(events int)
}

// nopMeter is the meter of a node that nobody watches.
type nopMeter struct{ broker.NopMeter }

func (nopMeter) DuplicateResponse(string)     {}
func (nopMeter) DrainStarted()                {}
func (nopMeter) DrainCompleted(time.Duration) {}
func (nopMeter) LoopLag(time.Duration)        {}
func (nopMeter) InboxLength(int)              {}

// Side is who is at the other end of a connection.
type Side string

// The sides.
const (
	ClientSide    Side = "client"
	EngineSide    Side = "engine"
	ChangelogSide Side = "changelog"
)

var allSides = []Side{ClientSide, EngineSide, ChangelogSide}

// Reasons are all reason codes, in the order of their list.
var Reasons = []Reason{PeerClosed, PeerReset, Quit, Idle, LoginTimeout, ReadTimeout, AccessDenied, Malformed, TooLarge, BufferFull,
	WriteTimeout, KilledByClient, EvictedIdle, TooManyConnections, ConnectFailed, EngineGone, Stalled, Retired, PollTimeout, AddressChanged, HTTPStatus, Shutdown,
	OtherError}

// endCounts counts connections that ended, on whichever goroutine.
type endCounts struct{ counts [3][32]atomic.Uint64 }

func (e *endCounts) add(side Side, reason Reason) {
	for i, s := range allSides {
		for j, r := range Reasons {
			if s == side && r == reason {
				e.counts[i][j].Add(1)
				return
			}
		}
	}
}

// ConnectionCounts is what a node knows of its connections.
type ConnectionCounts struct {
	Clients, Engines int // open
	ends             *endCounts
}

// EachEndReason is how many connections of a side ended for a reason, by their places in Reasons.
func (s *ConnectionCounts) EachEndReason(side Side, f func(reason Reason, n uint64)) {
	for i, is := range allSides {
		if is != side || s.ends == nil { // nil: there is no node behind it
			continue
		}
		for j, r := range Reasons {
			f(r, s.ends.counts[i][j].Load())
		}
	}
}

// SetMeter sets who is told of what happens from now on; it is to be called ahead of Run.
func (n *Server) SetMeter(m Meter) {
	n.meter = m
	n.b.SetMeter(m)
}

// Inspect calls f on the goroutine that owns the reducer and waits for it, or on its own once Run has ended. It returns
// false if ctx ended before.
func (n *Server) Inspect(ctx context.Context, f func(*broker.Broker, ConnectionCounts)) bool {
	done := make(chan struct{})
	look := func() {
		f(n.b, ConnectionCounts{Clients: len(n.clients), Engines: n.pool.connCount, ends: &n.ends})
		close(done)
	}
	inbox := n.inbox
	for {
		select {
		case inbox <- look:
			inbox = nil // once
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-n.over:
			select {
			case <-done:
			default: // it is in the inbox still, or never came there, and nothing else looks any more
				look()
			}
			return true
		}
	}
}

// drainTimer is an engine that drains, and what had not left for it when that was told.
type drainTimer struct {
	startedAt    time.Time
	pendingConns int // connections
	longest      time.Duration
}

// startDrain times how long what was put before an engine's drain takes to leave.
func (p *enginePool) startDrain(engine string) {
	if p.drains[engine] != nil {
		return // it was told before
	}
	d := &drainTimer{startedAt: time.Now()}
	p.drains[engine] = d
	p.server.meter.DrainStarted()
	for _, c := range p.connsByEngine[engine] {
		if c.transport == nil || c.transport.allSent() {
			continue
		}
		d.pendingConns++
		c.drain = d
		c.transport.afterSent(func() {
			at := time.Now()
			p.server.post(p.server.ctx, func() { p.connDrained(c, at) })
		})
	}
	if d.pendingConns == 0 {
		p.server.meter.DrainCompleted(0)
	}
}

// connDrained takes that all has left on a connection, or, without a time, that nothing more will.
func (p *enginePool) connDrained(c *engineConn, at time.Time) {
	d := c.drain
	if d == nil {
		return
	}
	c.drain = nil
	if !at.IsZero() {
		d.longest = max(d.longest, at.Sub(d.startedAt))
	}
	if d.pendingConns--; d.pendingConns == 0 {
		p.server.meter.DrainCompleted(d.longest)
	}
}
