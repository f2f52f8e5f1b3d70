package server

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// Meter is notified of what happens on connections, beside what the reducer notifies it of. Its methods are
// called on the goroutine that owns the reducer.
type Meter interface {
	broker.Meter
	// DuplicateResponse reports that an engine answered what nothing waits for.
	DuplicateResponse(engine string)
	// DrainStarted reports that an engine was listed as draining or put into maintenance.
	DrainStarted()
	// DrainCompleted reports how long after that the last byte left for the engine.
	DrainCompleted(took time.Duration)
	// LoopLag reports how long after it was due the broker's loop ran. It may be negative.
	LoopLag(d time.Duration)
	// InboxLength reports how many events waited as the loop ran.
	InboxLength(events int)
}

// nopMeter ignores everything.
type nopMeter struct{ broker.NopMeter }

func (nopMeter) DuplicateResponse(string)     {}
func (nopMeter) DrainStarted()                {}
func (nopMeter) DrainCompleted(time.Duration) {}
func (nopMeter) LoopLag(time.Duration)        {}
func (nopMeter) InboxLength(int)              {}

// SetMeter sets who is notified from now on. It is to be called ahead of Run.
func (s *Server) SetMeter(m Meter) {
	s.loop.meter = m
	s.loop.reducer.SetMeter(m)
}

// Inspect calls f on the goroutine that owns the reducer and waits for it; once Run has ended, it calls f
// itself. It returns false if ctx ended before.
func (s *Server) Inspect(ctx context.Context, f func(*broker.Broker, netconn.ConnectionCounts)) bool {
	done := make(chan struct{})
	inspect := func() {
		engines := s.pool.Stats().Connections
		f(s.loop.reducer, netconn.ConnectionCounts{
			Clients: s.frontend.ClientCount(), Engines: engines, Ends: &s.connections.counts,
		})
		close(done)
	}
	inbox := s.loop.inbox
	for {
		select {
		case inbox <- inspect:
			inbox = nil // it is posted once
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-s.done:
			select {
			case <-done:
			default: // it may be in the inbox still, which nobody reads after the end of Run
				inspect()
			}
			return true
		}
	}
}
