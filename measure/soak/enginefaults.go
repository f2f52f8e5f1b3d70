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
	minEngineStop       = 300 * time.Millisecond
	engineStopRange     = 5 * time.Second
	drainTime           = 6 * time.Second // from a drain to the engine's return
	maintenanceTime     = 4 * time.Second
	maxEventDelay       = 300 * time.Millisecond // from a crash of an engine to its event
	maxEngineStartDelay = 500 * time.Millisecond
	maxHold             = 3 * time.Second
	maxRefusal          = 2 * time.Second
	minConnectDelay     = 200 * time.Millisecond
	connectDelayRange   = 1500 * time.Millisecond
)

// stopEngine has an engine hang for a while.
func (s *soak) stopEngine(ctx context.Context, engine *engineProcess) error {
	p, from := engine.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	pacing.Pause(ctx, minEngineStop+s.drawDuration(engineStopRange))
	p.signal(syscall.SIGCONT)
	s.noteDelay(engine, from)
	return nil
}

// killEngine kills an engine. Its end is published a little later, and its return as a new process.
func (s *soak) killEngine(ctx context.Context, engine *engineProcess) error {
	engine.current().kill()
	engine.proxy.resetLinks()
	pacing.Pause(ctx, s.drawDuration(maxEventDelay))
	s.publish(engine, changelogserver.Terminated, 0)
	return s.returnEngine(ctx, engine)
}

// returnEngine starts an engine again, and publishes that.
func (s *soak) returnEngine(ctx context.Context, engine *engineProcess) error {
	pacing.Pause(ctx, s.drawDuration(maxEngineStartDelay))
	if err := s.startEngine(engine); err != nil {
		return err
	}
	s.publish(engine, changelogserver.InService, time.Now().UnixMilli())
	return nil
}

// drainEngine publishes that an engine drains. After a while a new process takes its place.
func (s *soak) drainEngine(ctx context.Context, engine *engineProcess) error {
	from := time.Now()
	s.publish(engine, changelogserver.Terminating, 0)
	pacing.Pause(ctx, drainTime)
	s.note(func(h *history) { h.drains[engine.id] = append(h.drains[engine.id], span{from, time.Now()}) })
	engine.current().kill()
	return s.returnEngine(ctx, engine)
}

// resetLinks resets all connections to an engine.
func (s *soak) resetLinks(context.Context) error {
	s.engines[s.draw(len(s.engines))].proxy.resetLinks()
	return nil
}

// holdBytes cuts one way between brokers and an engine, whose connections stay open.
func (s *soak) holdBytes(ctx context.Context, engine *engineProcess) error {
	way, from := direction(s.draw(2)), time.Now()
	engine.proxy.hold(way, true)
	pacing.Pause(ctx, s.drawDuration(maxHold))
	engine.proxy.hold(way, false)
	s.noteDelay(engine, from)
	return nil
}

// holdLastByte keeps the last byte of the engine's messages back for a while.
func (s *soak) holdLastByte(ctx context.Context) error {
	engine := s.engines[s.draw(len(s.engines))]
	engine.proxy.setHoldLast(true)
	pacing.Pause(ctx, s.drawDuration(maxHold))
	engine.proxy.setHoldLast(false)
	return nil
}

// refuseConnects has connections to an engine refused for a while.
func (s *soak) refuseConnects(ctx context.Context, engine *engineProcess) error {
	end := engine.proxy.refuse()
	pacing.Pause(ctx, s.drawDuration(maxRefusal))
	return end()
}

// delayConnects has connections to an engine come up late.
func (s *soak) delayConnects(ctx context.Context, engine *engineProcess) error {
	from, end := time.Now(), engine.proxy.delayConnects()
	engine.proxy.resetLinks()
	pacing.Pause(ctx, minConnectDelay+s.drawDuration(connectDelayRange))
	end()
	s.noteDelay(engine, from) // the system has completed some connections whose bytes wait in the proxy
	return nil
}

// maintainEngine takes an engine out by hand at all brokers, and back. Brokers may be restarted meanwhile.
func (s *soak) maintainEngine(ctx context.Context, engine *engineProcess) error {
	fails := func(broker *brokerSlot) bool { return broker.callUntil(ctx, "set-down "+engine.id) != nil }
	if slices.ContainsFunc(s.brokers, fails) {
		return nil // the run ends, or a broker is away for long: nothing is judged
	}
	from := time.Now()
	pacing.Pause(ctx, maintenanceTime)
	s.note(func(h *history) { h.maintenance[engine.id] = append(h.maintenance[engine.id], span{from, time.Now()}) })
	for _, broker := range s.brokers {
		if err := broker.callUntil(ctx, "set-up "+engine.id); err != nil {
			return err
		}
	}
	return nil
}
