package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/standstill"
	"wheatlane/internal/usage"
)

const (
	maxInboxBatch    = 512             // functions taken from the inbox before a round
	usageLogInterval = 5 * time.Second // between log lines of what the broker spent
)

// loop owns the reducer until ctx ends or a shutdown, begun by a value on stop, is complete.
func (s *Server) loop(ctx context.Context, stop <-chan struct{}) error {
	defer func() { _ = s.frontend.Close() }() // the shutdown may have closed it
	s.apply(broker.EndpointChanges{Page: s.cfg.Known, WallOffset: clock.WallOffset()})
	s.apply(broker.RestoreMaintenance{Engines: s.restoredMaintenance})
	pacer := standstill.NewPacer(clock.Now())
	defer pacer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop = nil
			s.beginShutdown()
		case f := <-s.inbox:
			s.runInbox(f)
		case <-pacer.WakeUps():
		}
		s.settle()
		now := clock.Now()
		s.standstills.LoopTurn(now)
		s.meter.LoopLag(pacer.Lag(now))
		if !pacer.Ready(now) {
			continue
		}
		s.round()
		if s.shutdownComplete() {
			s.logUsage()
			return nil
		}
		wait := s.untilNextRound()
		pacer.WakeIn(clock.Now(), wait)
	}
}

// runInbox calls the first function of a batch and those behind it.
func (s *Server) runInbox(first func()) {
	s.meter.InboxLength(len(s.inbox) + 1)
	first()
	for range min(len(s.inbox), maxInboxBatch) {
		f := <-s.inbox
		f()
	}
}

// round lets time pass in the reducer and does what is due.
func (s *Server) round() {
	s.execute(s.reducer.Tick(clock.Now()))
	s.settle()
	s.pool.CheckConnections()
	s.settle()
	s.pool.Sweep()
	if time.Since(s.usageLoggedAt) > usageLogInterval {
		s.logUsage()
	}
}

// untilNextRound returns how long the loop may wait if nothing happens.
func (s *Server) untilNextRound() time.Duration {
	wait := standstill.MaxTurnInterval
	if at, ok := s.reducer.NextDeadline(); ok {
		wait = min(wait, at-clock.Now())
	}
	return max(wait, 0)
}

// apply gives the reducer an event and carries out the effects, and what follows from them.
func (s *Server) apply(ev broker.Event) {
	if _, ok := ev.(broker.SubmitRequest); ok {
		s.usage.Requests++
	}
	s.execute(s.reducer.Apply(clock.Now(), ev))
	s.settle()
}

// settle applies the pending events.
func (s *Server) settle() {
	for len(s.pendingEvents) > 0 {
		ev := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		s.execute(s.reducer.Apply(clock.Now(), ev))
	}
}

// enqueue keeps an event that carrying out an effect gave until the other effects are carried out.
func (s *Server) enqueue(ev broker.Event) { s.pendingEvents = append(s.pendingEvents, ev) }

// logUsage logs what the broker spent of what a fleet shares since the line before, so that a day can be
// counted across all brokers from their logs (docs/operators/fleet-at-size.md).
func (s *Server) logUsage() {
	s.usageLoggedAt = time.Now()
	s.usage.EndpointPolls = s.endpoints.Polls()
	pool := s.pool.Stats()
	s.usage.Dials, s.usage.LivenessProbes = pool.Dials, pool.LivenessProbes
	spent := s.usage.Since(s.loggedUsage)
	s.loggedUsage = s.usage
	if spent == (usage.Counters{}) {
		return
	}
	fields := make([]zap.Field, 0, len(usage.FieldNames))
	for _, name := range usage.FieldNames {
		count, _ := spent.Count(name) // all field names have one
		fields = append(fields, zap.Uint64(name, count))
	}
	s.log.Info(usage.LogMessage, fields...)
}
