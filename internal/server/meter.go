package server

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/server/processstate"
)

// Meter receives events of the connections and the loop, in addition to the reducer's events. Its methods are called
// on the goroutine that owns the reducer.
type Meter interface {
	broker.Meter
	// DuplicateResponse reports an engine's response that no attempt is waiting for.
	DuplicateResponse(engine string)
	// DrainStarted reports that an engine was listed as draining or put into maintenance mode.
	DrainStarted()
	// DrainCompleted reports the time from DrainStarted until the last byte was sent to the engine.
	DrainCompleted(took time.Duration)
	// LoopLag reports the time between the due time of a loop iteration and its start. It may be negative.
	LoopLag(d time.Duration)
	// InboxLength reports the number of queued functions as the loop begins to run them.
	InboxLength(functions int)
}

// nopMeter discards all events.
type nopMeter struct{ broker.NopMeter }

func (nopMeter) DuplicateResponse(string)     {}
func (nopMeter) DrainStarted()                {}
func (nopMeter) DrainCompleted(time.Duration) {}
func (nopMeter) LoopLag(time.Duration)        {}
func (nopMeter) InboxLength(int)              {}

// SetMeter sets the meter that receives all further events. It must be called before Run.
func (s *Server) SetMeter(m Meter) {
	s.loop.meter = m
	s.loop.reducer.SetMeter(m)
}

// Inspect calls f on the goroutine that owns the reducer and waits until f returns. After Run has returned, Inspect
// calls f on the caller's goroutine. It returns false if ctx ends first.
func (s *Server) Inspect(ctx context.Context, f func(*broker.Broker, processstate.State)) bool {
	done := make(chan struct{})
	inspect := func() {
		f(s.loop.reducer, s.processState())
		close(done)
	}
	inbox := s.loop.inbox
	for {
		select {
		case inbox <- inspect:
			inbox = nil // post only once
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-s.done:
			select {
			case <-done:
			default: // inspect may still be in the inbox, which is not read after Run returns
				inspect()
			}
			return true
		}
	}
}

// processState returns the state of the process. It must be called in the loop.
func (s *Server) processState() processstate.State {
	return processstate.State{
		Connections: netconn.ConnectionCounts{
			Clients: s.frontend.ClientCount(), Engines: s.pool.Stats().Connections, Ends: &s.connections.counts,
		},
		Memory: s.memory.measure(),
	}
}
