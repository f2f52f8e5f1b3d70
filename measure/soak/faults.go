package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/pacing"
)

const (
	maxFaultOffset            = 150 * time.Millisecond // between the faults of one burst
	maxFaultsPerBurst         = 4
	minBurstPause             = 400 * time.Millisecond
	maxBurstPause             = 1500 * time.Millisecond
	maxChangelogFaultDuration = 3 * time.Second
	maxChangelogDelay         = 2 * time.Second
	faultStream               = 29 // of the seed's random numbers
)

// fault is a kind of fault. Its run injects the fault and returns once it has ended.
type fault struct {
	name string
	run  faultFunc
}

type faultFunc func(s *soak, ctx context.Context) error

// faults lists the faults that a run draws from. A repeated entry is drawn more often.
var faults = []fault{
	{"restart", onBroker((*soak).restartBroker)},
	{"restart", onBroker((*soak).restartBroker)},
	{"upgrade", onBroker((*soak).upgradeBroker)},
	{"kill", onBroker((*soak).killBroker)},
	{"reload", (*soak).reloadBrokers},
	{"reloads", (*soak).reloadRepeatedly},
	{"reload-series", (*soak).reloadInSeries},
	{"slow-upgrade", onBroker((*soak).upgradeSlowly)},
	{"crowd-wave", (*soak).sendCrowdWave},
	{"outage", onChangelog((*soak).interruptChangelog)},
	{"hangup-term", onBroker((*soak).hangUpAndTerminate)},
	{"signals", onBroker((*soak).sendSignals)},
	{"stop-broker", onBroker((*soak).stopBroker)},
	{"stop-engine", onEngine((*soak).stopEngine)},
	{"stop-engine", onEngine((*soak).stopEngine)},
	{"kill-engine", onEngine((*soak).killEngine)},
	{"drain", onEngine((*soak).drainEngine)},
	{"drain", onEngine((*soak).drainEngine)},
	{"reset-links", (*soak).resetLinks},
	{"hold", onEngine((*soak).holdBytes)},
	{"hold-last", (*soak).delayLastByte},
	{"refuse", onEngine((*soak).refuseConnects)},
	{"late-connects", onEngine((*soak).delayConnects)},
	{"late-connects", onEngine((*soak).delayConnects)},
	{"changelog", onChangelog((*soak).injectChangelogFault)},
	{"maintenance", onEngine((*soak).putInMaintenance)},
}

// runFaults injects bursts of faults until ctx ends. The faults of a burst overlap; the seed determines them.
func (s *soak) runFaults(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		for range 1 + s.draw(maxFaultsPerBurst) {
			drawn, offset := faults[s.draw(len(faults))], s.drawDuration(maxFaultOffset)
			group.Go(func() error {
				pacing.Pause(ctx, offset)
				s.runFault(ctx, drawn)
				return nil
			})
		}
		pacing.Pause(ctx, minBurstPause+s.drawDuration(maxBurstPause-minBurstPause))
	}
	return group.Wait()
}

// runFault runs one fault, unless ctx has ended. An error after the end of ctx is not a finding.
func (s *soak) runFault(ctx context.Context, drawn fault) {
	if ctx.Err() != nil {
		return
	}
	s.logFault(drawn.name)
	err := drawn.run(s, ctx)
	if err != nil && ctx.Err() == nil {
		s.addFinding("%s: %v", drawn.name, err)
	}
}

// onBroker returns a fault that runs on a random broker, unless another fault has reserved that broker.
func onBroker(run func(s *soak, ctx context.Context, broker *brokerSlot) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		broker := s.brokers[s.draw(len(s.brokers))]
		return s.withReservation(broker.name, func() error { return run(s, ctx, broker) })
	}
}

// onEngine returns a fault that runs on a random engine, unless another fault has reserved that engine.
func onEngine(run func(s *soak, ctx context.Context, engine *engineProcess) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		engine := s.engines[s.draw(len(s.engines))]
		return s.withReservation(engine.id, func() error { return run(s, ctx, engine) })
	}
}

// onChangelog returns a fault that runs on the change log, unless another fault has reserved it.
func onChangelog(run func(s *soak, ctx context.Context) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		return s.withReservation("changelog", func() error { return run(s, ctx) })
	}
}

// injectChangelogFault makes the change log truncate, stall, refuse or delay its replies for a while.
func (s *soak) injectChangelogFault(ctx context.Context) error {
	modes := []changelogserver.Mode{
		changelogserver.Truncating, changelogserver.Stalling, changelogserver.Unavailable, changelogserver.Serve,
	}
	mode, from := modes[s.draw(len(modes))], time.Now()
	if mode == changelogserver.Serve {
		s.changes.SetDelay(s.drawDuration(maxChangelogDelay))
	}
	s.changes.SetMode(mode)
	pacing.Pause(ctx, s.drawDuration(maxChangelogFaultDuration))
	s.changes.SetMode(changelogserver.Serve)
	s.changes.SetDelay(0)
	s.updateHistory(func(h *history) {
		h.changelogFaults = append(h.changelogFaults, span{from, time.Now().Add(maxChangelogDelay)})
	})
	return nil
}
