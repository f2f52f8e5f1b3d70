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

var sides = []Side{ClientSide, EngineSide, ChangelogSide}

// Reasons are all reason codes, in the order of their list.
var Reasons = []Reason{PeerClosed, PeerReset, Quit, Idle, LoginTimeout, ReadTimeout, Denied, Malformed, TooLarge, BufferFull,
	WriteTimeout, Killed, MadeRoom, TooMany, ConnectFailed, EngineGone, Stalled, Retired, Silent, Moved, HTTPStatus, Shutdown,
	Failed}

// ends counts connections that ended, on whichever goroutine.
type ends struct{ n [3][32]atomic.Uint64 }

func (e *ends) add(side Side, reason Reason) {
	for i, s := range sides {
		for j, r := range Reasons {
			if s == side && r == reason {
				e.n[i][j].Add(1)
				return
			}
		}
	}
}

// ConnectionCounts is what a node knows of its connections.
type ConnectionCounts struct {
	Clients, Engines int // open
	ends             *ends
}

// EachEndReason is how many connections of a side ended for a reason, by their places in Reasons.
func (s *ConnectionCounts) EachEndReason(side Side, f func(reason Reason, n uint64)) {
	for i, is := range sides {
		if is != side || s.ends == nil { // nil: there is no node behind it
			continue
		}
		for j, r := range Reasons {
			f(r, s.ends.n[i][j].Load())
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
		f(n.b, ConnectionCounts{Clients: len(n.clients), Engines: n.pool.count, ends: &n.ends})
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

// drain is an engine that drains, and what had not left for it when that was told.
type drain struct {
	told  time.Time
	waits int // connections
	took  time.Duration
}

// drains times how long what was put before an engine's drain takes to leave.
func (p *pool) drains(engine string) {
	if p.left[engine] != nil {
		return // it was told before
	}
	d := &drain{told: time.Now()}
	p.left[engine] = d
	p.n.meter.DrainStarted()
	for _, c := range p.conns[engine] {
		if c.link == nil || c.link.empty() {
			continue
		}
		d.waits++
		c.drain = d
		c.link.then(func() {
			at := time.Now()
			p.n.post(p.n.ctx, func() { p.drained(c, at) })
		})
	}
	if d.waits == 0 {
		p.n.meter.DrainCompleted(0)
	}
}

// drained takes that all has left on a connection, or, without a time, that nothing more will.
func (p *pool) drained(c *upstream, at time.Time) {
	d := c.drain
	if d == nil {
		return
	}
	c.drain = nil
	if !at.IsZero() {
		d.took = max(d.took, at.Sub(d.told))
	}
	if d.waits--; d.waits == 0 {
		p.n.meter.DrainCompleted(d.took)
	}
}
