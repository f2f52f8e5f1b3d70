package main

import (
	"context"
	"syscall"
	"time"

	"wheatlane/internal/emulator/pacing"
)

const (
	maxRestartDelay  = time.Second // from SIGKILL to the next start
	minBrokerPause   = 20 * time.Millisecond
	brokerPauseRange = 600 * time.Millisecond
	longPauseOdds    = 4 // one in so many pauses of a broker is long
	longPauseExtra   = 2500 * time.Millisecond
	repeatedReloads  = 10
	reloadInterval   = 15 * time.Millisecond

	// reloadsInSeries are so many that what each configuration leaves behind would exceed the memory of a broker.
	reloadsInSeries = 60
	seriesInterval  = 40 * time.Millisecond

	maxUpgradeOverlap = 2 * time.Second // in which both processes serve

	maxSignals        = 6 // of a series
	maxSignalInterval = 300 * time.Millisecond
)

// restartBroker terminates a broker by SIGTERM and starts it again.
func (s *soak) restartBroker(ctx context.Context, broker *brokerSlot) error {
	s.recordTerm(broker)
	if err := broker.terminate(broker.current()); err != nil {
		return err
	}
	return broker.start(context.WithoutCancel(ctx))
}

// upgradeBroker starts a second process beside the current one and terminates the previous process once the second one
// serves.
func (s *soak) upgradeBroker(ctx context.Context, broker *brokerSlot) error {
	return s.upgradeAfter(ctx, broker, 0)
}

// upgradeSlowly is upgradeBroker with a time in which both processes serve.
func (s *soak) upgradeSlowly(ctx context.Context, broker *brokerSlot) error {
	return s.upgradeAfter(ctx, broker, s.drawDuration(maxUpgradeOverlap))
}

func (s *soak) upgradeAfter(ctx context.Context, broker *brokerSlot, overlap time.Duration) error {
	previous, from := broker.current(), time.Now()
	if err := broker.start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	pacing.Pause(ctx, overlap)
	s.recordTerm(broker)
	err := broker.terminate(previous)
	s.updateHistory(func(h *history) {
		h.upgrades[broker.listen] = append(h.upgrades[broker.listen], span{from, time.Now()})
	})
	return err
}

// killBroker kills a broker by SIGKILL and starts it again after a pause.
func (s *soak) killBroker(ctx context.Context, broker *brokerSlot) error {
	killedAt := time.Now()
	broker.current().kill()
	pacing.Pause(ctx, s.drawDuration(maxRestartDelay))
	err := broker.start(context.WithoutCancel(ctx))
	s.updateHistory(func(h *history) {
		h.brokerKills[broker.listen] = append(h.brokerKills[broker.listen], span{killedAt, time.Now()})
	})
	return err
}

// reloadBrokers reloads all brokers with a new configuration.
func (s *soak) reloadBrokers(context.Context) error {
	for _, broker := range s.brokers {
		if err := broker.reload(); err != nil {
			return err
		}
	}
	return nil
}

// reloadRepeatedly reloads a broker several times in quick succession.
func (s *soak) reloadRepeatedly(ctx context.Context) error {
	broker := s.brokers[s.draw(len(s.brokers))]
	for range repeatedReloads {
		if err := broker.reload(); err != nil {
			return err
		}
		pacing.Pause(ctx, reloadInterval)
	}
	return nil
}

// reloadInSeries reloads a broker many times. Each configuration renames a class (writeConfig).
func (s *soak) reloadInSeries(ctx context.Context) error {
	broker := s.brokers[s.draw(len(s.brokers))]
	for i := 0; i < reloadsInSeries && ctx.Err() == nil; i++ {
		if err := broker.reload(); err != nil {
			return err
		}
		pacing.Pause(ctx, seriesInterval)
	}
	return nil
}

// hangUpAndTerminate sends a broker SIGHUP, immediately followed by SIGTERM, and starts it again.
func (s *soak) hangUpAndTerminate(ctx context.Context, broker *brokerSlot) error {
	if err := broker.reload(); err != nil {
		return err
	}
	return s.restartBroker(ctx, broker)
}

// sendSignals sends a broker SIGTERM and a series of SIGHUP and SIGTERM shortly after it, and starts it again.
func (s *soak) sendSignals(ctx context.Context, broker *brokerSlot) error {
	p := broker.current()
	s.recordTerm(broker)
	terminated := make(chan error, 1)
	go func() { terminated <- broker.terminate(p) }()
	for range 1 + s.draw(maxSignals) {
		pacing.Pause(ctx, s.drawDuration(maxSignalInterval))
		p.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.draw(2)])
	}
	if err := <-terminated; err != nil {
		return err
	}
	return broker.start(context.WithoutCancel(ctx))
}

// stopBroker pauses a broker by SIGSTOP and SIGCONT.
func (s *soak) stopBroker(ctx context.Context, broker *brokerSlot) error {
	p, from := broker.current(), time.Now()
	p.signal(syscall.SIGSTOP)
	duration := minBrokerPause + s.drawDuration(brokerPauseRange)
	if s.draw(longPauseOdds) == 0 {
		duration += longPauseExtra
	}
	pacing.Pause(ctx, duration)
	p.signal(syscall.SIGCONT)
	s.updateHistory(func(h *history) {
		h.brokerStops[broker.listen] = append(h.brokerStops[broker.listen], span{from, time.Now()})
	})
	return nil
}
