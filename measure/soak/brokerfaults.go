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
func (s *soak) restartBroker(ctx context.Context, broker *brokerSlot) error {
	s.noteTerm(broker)
	if err := broker.terminate(broker.current()); err != nil {
		return err
	}
	return broker.start(context.WithoutCancel(ctx))
}

// upgradeBroker starts a second process beside the first, which ends once the other one serves.
func (s *soak) upgradeBroker(ctx context.Context, broker *brokerSlot) error {
	before := broker.current()
	if err := broker.start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	s.noteTerm(broker)
	return broker.terminate(before)
}

// killBroker kills a broker and starts it again.
func (s *soak) killBroker(ctx context.Context, broker *brokerSlot) error {
	killedAt := time.Now()
	broker.current().kill()
	pacing.Pause(ctx, s.drawDuration(maxKillPause))
	err := broker.start(context.WithoutCancel(ctx))
	s.note(func(h *history) {
		h.brokerKills[broker.listen] = append(h.brokerKills[broker.listen], span{killedAt, time.Now()})
	})
	return err
}

// reloadBrokers sends all brokers a new configuration.
func (s *soak) reloadBrokers(context.Context) error {
	for _, broker := range s.brokers {
		if err := broker.reload(); err != nil {
			return err
		}
	}
	return nil
}

// reloadInARow sends a broker several new configurations in quick succession.
func (s *soak) reloadInARow(ctx context.Context) error {
	broker := s.brokers[s.draw(len(s.brokers))]
	for range reloadsInARow {
		if err := broker.reload(); err != nil {
			return err
		}
		pacing.Pause(ctx, reloadInterval)
	}
	return nil
}

// hangUpAndTerminate sends a broker SIGHUP and SIGTERM in one moment, and starts it again.
func (s *soak) hangUpAndTerminate(ctx context.Context, broker *brokerSlot) error {
	if err := broker.reload(); err != nil {
		return err
	}
	return s.restartBroker(ctx, broker)
}

// stopBroker has a broker stand still for a while.
func (s *soak) stopBroker(ctx context.Context, broker *brokerSlot) error {
	p, from := broker.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	length := minBrokerStop + s.drawDuration(brokerStopRange)
	if s.draw(longStopOdds) == 0 {
		length += longStopExtra
	}
	pacing.Pause(ctx, length)
	p.signal(syscall.SIGCONT)
	s.note(func(h *history) {
		h.brokerStops[broker.listen] = append(h.brokerStops[broker.listen], span{from, time.Now()})
	})
	return nil
}
