package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/server/processpause"
)

// runLoop runs the loop until ctx ends or the graceful shutdown that a receive from stop begins is complete.
func (s *Server) runLoop(ctx context.Context, stop <-chan struct{}) error {
	defer func() { _ = s.frontend.Close() }() // the shutdown may have closed it
	s.loop.apply(broker.EndpointChanges{Page: s.cfg.InitialEndpoints, WallOffset: clock.WallOffset()})
	s.loop.apply(broker.RestoreMaintenance{Engines: s.restoredMaintenance})
	defer s.kills.processes.Leave()
	pacer := processpause.NewPacer(clock.Now())
	defer pacer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop = nil
			s.beginShutdown()
		case f := <-s.loop.inbox:
			s.loop.runInbox(f)
		case <-pacer.WakeUps():
		}
		s.loop.applyQueued()
		now := clock.Now()
		s.pauses.RecordIteration(now)
		s.loop.meter.LoopLag(pacer.Lag(now))
		if !pacer.Ready(now) {
			continue
		}
		s.runIteration()
		if s.advanceShutdown() {
			s.logUsage()
			return nil
		}
		wait := s.untilNextIteration()
		pacer.WakeIn(clock.Now(), wait)
	}
}

// runIteration advances the reducer's time and runs the periodic work of the engine pool and the usage log.
func (s *Server) runIteration() {
	s.kills.exchange()
	s.loop.tick()
	s.pool.CheckConnections()
	s.loop.applyQueued()
	s.pool.Sweep()
	if s.loop.usage.isDue() {
		s.logUsage()
	}
	s.memory.check()
	s.memory.logIfDue()
}

// untilNextIteration returns the longest time that the loop may wait without events.
func (s *Server) untilNextIteration() time.Duration {
	wait := processpause.MaxLoopInterval
	if deadline, ok := s.loop.reducer.NextDeadline(); ok {
		wait = min(wait, deadline-clock.Now())
	}
	return max(wait, 0)
}

// logUsage logs the usage since the previous line.
func (s *Server) logUsage() { s.loop.usage.write(s.endpoints.Polls(), s.pool.Stats()) }

// beginShutdown begins a graceful shutdown.
func (s *Server) beginShutdown() {
	s.shutdown = newGracefulShutdown(time.Now(), s.cfg.Settings.Control.Classes)
	within := s.shutdown.answerWithin
	s.log.Info("stopping", zap.Int("open", s.loop.reducer.OpenRequests()), zap.Duration("within", within))
	s.loop.apply(broker.Shutdown{GracePeriod: within})
}

// advanceShutdown performs the shutdown steps that are due and reports whether the shutdown is complete.
func (s *Server) advanceShutdown() (complete bool) {
	for s.shutdown.requested() {
		switch s.shutdown.next(time.Now(), shutdownProgress{
			openRequests: s.loop.reducer.OpenRequests(),
			clients:      s.frontend.ClientCount(),
			allRead:      s.frontend.ListenerClosed() && s.frontend.AllRead(),
		}) {
		case shutdownWait:
			return false
		case shutdownBeginFinalReads:
			s.frontend.BeginFinalReads()
		case shutdownCloseSessions:
			s.closeSessions()
		case shutdownExit:
			return true
		}
	}
	return false
}

// closeSessions closes all client connections. The reducer rejects requests that are read until their readers stop.
func (s *Server) closeSessions() {
	s.loop.apply(broker.SendFinalAnswers{})
	s.frontend.CloseAll(netconn.Shutdown)
}
