package main

import (
	"context"
	"slices"
	"syscall"
	"time"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/pacing"
)

const (
	minEnginePause      = 300 * time.Millisecond
	enginePauseRange    = 5 * time.Second
	drainTime           = 6 * time.Second // from the start of a drain to the engine's restart
	maintenanceTime     = 4 * time.Second
	maxEventDelay       = 300 * time.Millisecond // from the kill of an engine to its event in the change log
	maxEngineStartDelay = 500 * time.Millisecond
	maxHoldTime         = 3 * time.Second
	maxRefusalTime      = 2 * time.Second
	minConnectDelay     = 200 * time.Millisecond
	connectDelayRange   = 1500 * time.Millisecond
)

// stopEngine pauses an engine by SIGSTOP and SIGCONT.
func (s *soak) stopEngine(ctx context.Context, engine *engineProcess) error {
	p, from := engine.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	pacing.Pause(ctx, minEnginePause+s.drawDuration(enginePauseRange))
	p.signal(syscall.SIGCONT)
	s.recordEngineDelay(engine, from)
	return nil
}

// killEngine kills an engine by SIGKILL. It publishes the end of the engine after a short delay, and then restarts the
// engine.
func (s *soak) killEngine(ctx context.Context, engine *engineProcess) error {
	engine.current().kill()
	engine.proxy.resetLinks()
	pacing.Pause(ctx, s.drawDuration(maxEventDelay))
	s.publish(engine, changelogserver.Terminated, 0)
	return s.restartEngine(ctx, engine)
}

// restartEngine starts an engine again after a short delay, and publishes that the engine is in service.
func (s *soak) restartEngine(ctx context.Context, engine *engineProcess) error {
	pacing.Pause(ctx, s.drawDuration(maxEngineStartDelay))
	if err := s.startEngine(engine); err != nil {
		return err
	}
	s.publish(engine, changelogserver.InService, time.Now().UnixMilli())
	return nil
}

// drainEngine publishes that an engine is draining. After drainTime a new process replaces the engine.
func (s *soak) drainEngine(ctx context.Context, engine *engineProcess) error {
	from := time.Now()
	s.publish(engine, changelogserver.Terminating, 0)
	pacing.Pause(ctx, drainTime)
	s.updateHistory(func(h *history) { h.drains[engine.id] = append(h.drains[engine.id], span{from, time.Now()}) })
	engine.current().kill()
	return s.restartEngine(ctx, engine)
}

// resetLinks resets all connections to a random engine.
func (s *soak) resetLinks(context.Context) error {
	s.engines[s.draw(len(s.engines))].proxy.resetLinks()
	return nil
}

// holdBytes holds all bytes of one direction between brokers and an engine. The connections stay open.
func (s *soak) holdBytes(ctx context.Context, engine *engineProcess) error {
	heldDirection, from := direction(s.draw(2)), time.Now()
	engine.proxy.setHeld(heldDirection, true)
	pacing.Pause(ctx, s.drawDuration(maxHoldTime))
	engine.proxy.setHeld(heldDirection, false)
	s.recordEngineDelay(engine, from)
	return nil
}

// delayLastByte delays the last byte of each message of a random engine.
func (s *soak) delayLastByte(ctx context.Context) error {
	engine := s.engines[s.draw(len(s.engines))]
	engine.proxy.setDelayLast(true)
	pacing.Pause(ctx, s.drawDuration(maxHoldTime))
	engine.proxy.setDelayLast(false)
	return nil
}

// refuseConnects makes the proxy of an engine refuse connections for a while.
func (s *soak) refuseConnects(ctx context.Context, engine *engineProcess) error {
	end := engine.proxy.refuse()
	pacing.Pause(ctx, s.drawDuration(maxRefusalTime))
	return end()
}

// delayConnects delays new connections to an engine.
func (s *soak) delayConnects(ctx context.Context, engine *engineProcess) error {
	from, end := time.Now(), engine.proxy.delayConnects()
	engine.proxy.resetLinks()
	pacing.Pause(ctx, minConnectDelay+s.drawDuration(connectDelayRange))
	end()
	s.recordEngineDelay(engine, from) // the bytes of connections that the kernel completed waited in the proxy
	return nil
}

// putInMaintenance puts an engine in maintenance mode at all brokers for maintenanceTime. Brokers may restart
// meanwhile.
func (s *soak) putInMaintenance(ctx context.Context, engine *engineProcess) error {
	fails := func(broker *brokerSlot) bool { return broker.callUntilAcknowledged(ctx, "set-down "+engine.id) != nil }
	if slices.ContainsFunc(s.brokers, fails) {
		return nil // the run ends, or a broker is down for long: there is nothing to verify
	}
	from := time.Now()
	pacing.Pause(ctx, maintenanceTime)
	s.updateHistory(func(h *history) {
		h.maintenance[engine.id] = append(h.maintenance[engine.id], span{from, time.Now()})
	})
	for _, broker := range s.brokers {
		if err := broker.callUntilAcknowledged(ctx, "set-up "+engine.id); err != nil {
			return err
		}
	}
	return nil
}
