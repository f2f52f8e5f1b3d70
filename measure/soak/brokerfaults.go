package main

import (
	"context"
	"syscall"
	"time"

	"wheatlane/internal/emulator/pacing"
)

const (
	maxKillPause    = time.Second // from a kill to the next start
	minBrokerStop   = 20 * time.Millisecond
	brokerStopRange = 600 * time.Millisecond
	longStopOdds    = 4 // one in so many stops of a broker is long
	longStopExtra   = 2500 * time.Millisecond
	reloadsInARow   = 10
	reloadInterval  = 15 * time.Millisecond
)

// restartBroker restarts a broker by SIGTERM.
func (s *soak) restartBroker(ctx context.Context, b *brokerSlot) error {
	s.noteTerm(b)
	if err := b.terminate(b.current()); err != nil {
		return err
	}
	return b.start(context.WithoutCancel(ctx))
}

// upgradeBroker starts a second process beside the first, which ends once the other one serves.
func (s *soak) upgradeBroker(ctx context.Context, b *brokerSlot) error {
	before := b.current()
	if err := b.start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	s.noteTerm(b)
	return b.terminate(before)
}

// killBroker kills a broker and starts it again.
func (s *soak) killBroker(ctx context.Context, b *brokerSlot) error {
	killedAt := time.Now()
	b.current().kill()
	pacing.Pause(ctx, s.drawDuration(maxKillPause))
	err := b.start(context.WithoutCancel(ctx))
	s.note(func(h *history) {
		h.brokerKills[b.listen] = append(h.brokerKills[b.listen], span{killedAt, time.Now()})
	})
	return err
}

// reloadBrokers sends all brokers a new configuration.
func (s *soak) reloadBrokers(context.Context) error {
	for _, b := range s.brokers {
		if err := b.reload(); err != nil {
			return err
		}
	}
	return nil
}

// reloadInARow sends a broker several new configurations in quick succession.
func (s *soak) reloadInARow(ctx context.Context) error {
	b := s.brokers[s.draw(len(s.brokers))]
	for range reloadsInARow {
		if err := b.reload(); err != nil {
			return err
		}
		pacing.Pause(ctx, reloadInterval)
	}
	return nil
}

// hangUpAndTerminate sends a broker SIGHUP and SIGTERM in one moment, and starts it again.
func (s *soak) hangUpAndTerminate(ctx context.Context, b *brokerSlot) error {
	if err := b.reload(); err != nil {
		return err
	}
	return s.restartBroker(ctx, b)
}

// stopBroker has a broker stand still for a while.
func (s *soak) stopBroker(ctx context.Context, b *brokerSlot) error {
	p, from := b.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	length := minBrokerStop + s.drawDuration(brokerStopRange)
	if s.draw(longStopOdds) == 0 {
		length += longStopExtra
	}
	pacing.Pause(ctx, length)
	p.signal(syscall.SIGCONT)
	s.note(func(h *history) {
		h.brokerStops[b.listen] = append(h.brokerStops[b.listen], span{from, time.Now()})
	})
	return nil
}
