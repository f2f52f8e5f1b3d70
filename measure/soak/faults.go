package main

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/pacing"
)

const (
	maxFaultOffset    = 150 * time.Millisecond // between the faults of one moment
	faultsPerMoment   = 4
	minMomentPause    = 400 * time.Millisecond
	maxMomentPause    = 1500 * time.Millisecond
	maxChangelogFault = 3 * time.Second
	maxChangelogDelay = 2 * time.Second
	faultStream       = 29 // of the seed's random numbers
)

// fault is something that goes wrong for a while. It returns once it is over.
type fault struct {
	name string
	run  faultFunc
}

type faultFunc func(s *soak, ctx context.Context) error

// faults are what the moments of a run are drawn from.
var faults = []fault{
	{"restart", onBroker((*soak).restartBroker)},
	{"restart", onBroker((*soak).restartBroker)},
	{"upgrade", onBroker((*soak).upgradeBroker)},
	{"kill", onBroker((*soak).killBroker)},
	{"reload", (*soak).reloadBrokers},
	{"reloads", (*soak).reloadInARow},
	{"hangup-term", onBroker((*soak).hangUpAndTerminate)},
	{"stop-broker", onBroker((*soak).stopBroker)},
	{"stop-engine", onEngine((*soak).stopEngine)},
	{"stop-engine", onEngine((*soak).stopEngine)},
	{"kill-engine", onEngine((*soak).killEngine)},
	{"drain", onEngine((*soak).drainEngine)},
	{"drain", onEngine((*soak).drainEngine)},
	{"reset-links", (*soak).resetLinks},
	{"hold", onEngine((*soak).holdBytes)},
	{"hold-last", (*soak).holdLastByte},
	{"refuse", onEngine((*soak).refuseConnects)},
	{"late-connects", onEngine((*soak).delayConnects)},
	{"late-connects", onEngine((*soak).delayConnects)},
	{"changelog", onChangelog((*soak).disturbChangelog)},
	{"maintenance", onEngine((*soak).maintainEngine)},
}

// runFaults runs moments until ctx ends: each overlaps some faults, drawn by the seed.
func (s *soak) runFaults(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for ctx.Err() == nil {
		for range 1 + s.draw(faultsPerMoment) {
			drawn, offset := faults[s.draw(len(faults))], s.drawDuration(maxFaultOffset)
			group.Go(func() error {
				pacing.Pause(ctx, offset)
				s.runFault(ctx, drawn)
				return nil
			})
		}
		pacing.Pause(ctx, minMomentPause+s.drawDuration(maxMomentPause-minMomentPause))
	}
	return group.Wait()
}

// runFault runs one fault, unless the run is over. What fails after its end is no finding.
func (s *soak) runFault(ctx context.Context, drawn fault) {
	if ctx.Err() != nil {
		return
	}
	s.logFault(drawn.name)
	err := drawn.run(s, ctx)
	if err != nil && ctx.Err() == nil {
		s.find("%s: %v", drawn.name, err)
	}
}

// onBroker makes a fault of one that befalls a broker, which is drawn.
func onBroker(run func(s *soak, ctx context.Context, broker *brokerSlot) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		broker := s.brokers[s.draw(len(s.brokers))]
		return s.holding(broker.name, func() error { return run(s, ctx, broker) })
	}
}

// onEngine makes a fault of one that befalls an engine, which is drawn.
func onEngine(run func(s *soak, ctx context.Context, engine *engineProcess) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		engine := s.engines[s.draw(len(s.engines))]
		return s.holding(engine.id, func() error { return run(s, ctx, engine) })
	}
}

// onChangelog makes a fault of one that befalls the change log.
func onChangelog(run func(s *soak, ctx context.Context) error) faultFunc {
	return func(s *soak, ctx context.Context) error {
		return s.holding("changelog", func() error { return run(s, ctx) })
	}
}

// disturbChangelog has the change log break off, stall, refuse or be late for a while.
func (s *soak) disturbChangelog(ctx context.Context) error {
	modes := []changelogserver.Mode{
		changelogserver.Truncating, changelogserver.Stalling, changelogserver.Unavailable, changelogserver.Serve,
	}
	mode, from := modes[s.draw(len(modes))], time.Now()
	if mode == changelogserver.Serve {
		s.changes.SetDelay(s.drawDuration(maxChangelogDelay))
	}
	s.changes.SetMode(mode)
	pacing.Pause(ctx, s.drawDuration(maxChangelogFault))
	s.changes.SetMode(changelogserver.Serve)
	s.changes.SetDelay(0)
	s.note(func(h *history) {
		h.changelogFaults = append(h.changelogFaults, span{from, time.Now().Add(maxChangelogDelay)})
	})
	return nil
}
