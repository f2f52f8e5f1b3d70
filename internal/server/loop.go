package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/usage"
)

const (
	maxInboxBatch    = 512             // functions taken from the inbox before a round
	usageLogInterval = 5 * time.Second // between log lines of what the broker spent
	// maxLoopInterval is the longest time between rounds, so that a standstill of the process is noticed.
	maxLoopInterval = 20 * time.Millisecond
	// standstillThreshold is the lag of the loop that means that the whole process stood still.
	standstillThreshold = 25 * time.Millisecond
	// catchUpDuration is how long the sockets are read after a standstill before any timeout is judged.
	catchUpDuration = 5 * time.Millisecond
)

// pacer decides when the loop runs a round. After a standstill of the process it first leaves time to read
// what came meanwhile: no timeout may be judged before the answers that came within it are read, and
// requests of one order key, which clients write at least 60 ms apart, must not be taken in another order.
type pacer struct {
	timer      *time.Timer
	due        time.Duration // when the next wake-up is due
	catchingUp bool
}

func newPacer(t time.Duration) *pacer { return &pacer{timer: time.NewTimer(0), due: t} }

// ready reports whether a wake-up at time t may run a round.
func (p *pacer) ready(t time.Duration) bool {
	switch {
	case !p.catchingUp && t-p.due > standstillThreshold:
		p.catchingUp = true
		p.wakeIn(t, catchUpDuration)
		return false
	case p.catchingUp && t < p.due:
		return false
	}
	p.catchingUp = false
	return true
}

// wakeIn sets the next wake-up to a time after t.
func (p *pacer) wakeIn(t, wait time.Duration) {
	p.due = t + wait
	p.timer.Reset(wait)
}

// loop owns the reducer until ctx ends or a shutdown, begun by a value on stop, is complete.
func (s *Server) loop(ctx context.Context, stop <-chan struct{}) error {
	defer func() { _ = s.listener.Close() }() // the shutdown may have closed it
	s.apply(broker.EndpointChanges{Page: s.cfg.Known, WallOffset: clock.WallOffset()})
	s.apply(broker.RestoreMaintenance{Engines: s.restoredMaintenance})
	pace := newPacer(clock.Now())
	defer pace.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop = nil
			s.beginShutdown()
		case f := <-s.inbox:
			s.runInbox(f)
		case <-pace.timer.C:
		}
		s.settle()
		t := clock.Now()
		s.standstill.turn(t)
		s.meter.LoopLag(t - pace.due)
		if !pace.ready(t) {
			continue
		}
		s.round()
		if s.shutdownComplete() {
			s.logUsage()
			return nil
		}
		wait := s.untilNextRound()
		pace.wakeIn(clock.Now(), wait)
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
	wait := maxLoopInterval
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
