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
func (s *soak) stopEngine(ctx context.Context, e *engineProcess) error {
	p, from := e.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	pacing.Pause(ctx, minEngineStop+s.drawDuration(engineStopRange))
	p.signal(syscall.SIGCONT)
	s.noteDelay(e, from)
	return nil
}

// killEngine kills an engine. Its end is published a little later, and its return as a new process.
func (s *soak) killEngine(ctx context.Context, e *engineProcess) error {
	e.current().kill()
	e.proxy.resetLinks()
	pacing.Pause(ctx, s.drawDuration(maxEventDelay))
	s.publish(e, changelogserver.Terminated, 0)
	return s.returnEngine(ctx, e)
}

// returnEngine starts an engine again, and publishes that.
func (s *soak) returnEngine(ctx context.Context, e *engineProcess) error {
	pacing.Pause(ctx, s.drawDuration(maxEngineStartDelay))
	if err := s.startEngine(e); err != nil {
		return err
	}
	s.publish(e, changelogserver.InService, time.Now().UnixMilli())
	return nil
}

// drainEngine publishes that an engine drains. After a while a new process takes its place.
func (s *soak) drainEngine(ctx context.Context, e *engineProcess) error {
	from := time.Now()
	s.publish(e, changelogserver.Terminating, 0)
	pacing.Pause(ctx, drainTime)
	s.note(func(h *history) { h.drains[e.id] = append(h.drains[e.id], span{from, time.Now()}) })
	e.current().kill()
	return s.returnEngine(ctx, e)
}

// resetLinks resets all connections to an engine.
func (s *soak) resetLinks(context.Context) error {
	s.engines[s.draw(len(s.engines))].proxy.resetLinks()
	return nil
}

// holdBytes cuts one way between brokers and an engine, whose connections stay open.
func (s *soak) holdBytes(ctx context.Context, e *engineProcess) error {
	d, from := direction(s.draw(2)), time.Now()
	e.proxy.hold(d, true)
	pacing.Pause(ctx, s.drawDuration(maxHold))
	e.proxy.hold(d, false)
	s.noteDelay(e, from)
	return nil
}

// holdLastByte keeps the last byte of the engine's messages back for a while.
func (s *soak) holdLastByte(ctx context.Context) error {
	e := s.engines[s.draw(len(s.engines))]
	e.proxy.setHoldLast(true)
	pacing.Pause(ctx, s.drawDuration(maxHold))
	e.proxy.setHoldLast(false)
	return nil
}

// refuseConnects has connections to an engine refused for a while.
func (s *soak) refuseConnects(ctx context.Context, e *engineProcess) error {
	end := e.proxy.refuse()
	pacing.Pause(ctx, s.drawDuration(maxRefusal))
	return end()
}

// delayConnects has connections to an engine come up late.
func (s *soak) delayConnects(ctx context.Context, e *engineProcess) error {
	from, end := time.Now(), e.proxy.delayConnects()
	e.proxy.resetLinks()
	pacing.Pause(ctx, minConnectDelay+s.drawDuration(connectDelayRange))
	end()
	s.noteDelay(e, from) // the system has completed some connections whose bytes wait in the proxy
	return nil
}

// maintainEngine takes an engine out by hand at all brokers, and back. Brokers may be restarted meanwhile.
func (s *soak) maintainEngine(ctx context.Context, e *engineProcess) error {
	fails := func(b *brokerSlot) bool { return b.callUntil(ctx, "set-down "+e.id) != nil }
	if slices.ContainsFunc(s.brokers, fails) {
		return nil // the run ends, or a broker is away for long: nothing is judged
	}
	from := time.Now()
	pacing.Pause(ctx, maintenanceTime)
	s.note(func(h *history) { h.maintenance[e.id] = append(h.maintenance[e.id], span{from, time.Now()}) })
	for _, b := range s.brokers {
		if err := b.callUntil(ctx, "set-up "+e.id); err != nil {
			return err
		}
	}
	return nil
}
