package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/service"
)

const (
	engineCount     = 3
	faults          = "2s:slow:1,4s:silent:2,6s:speak:2,7s:drain:3,9s:crash:1,12s:back:1,14s:quick:1"
	disconnectGrace = 300 * time.Millisecond // limit that the operators set
	drainGrace      = 500 * time.Millisecond
	clockSlack      = 50 * time.Millisecond
	maxAttempts     = 4

	// lateLoad is how long clients may send requests after SIGTERM, as the protocol specifies.
	lateLoad = 300 * time.Millisecond
	// quietSeedOffset is added to the seed for the load without long requests.
	quietSeedOffset = 1000
)

// classes are the request classes that clients send.
var classes = []client.Class{
	{
		Engine:           cluster.Classes[0],
		Rate:             80,
		LatencyObjective: 500 * time.Millisecond,
		Timeout:          2 * time.Second,
	},
	{Engine: cluster.Classes[1], Rate: 2, LatencyObjective: 4 * time.Second, Timeout: 20 * time.Second},
	{
		Engine:           cluster.Classes[2],
		Rate:             1,
		LatencyObjective: 9 * time.Second,
		Timeout:          25 * time.Second,
		OrderKeys:        8,
	},
}

// environment holds the emulated engines and change log that a broker runs against, and the checker that observes them.
type environment struct {
	checker   *conformance.Checker
	observer  *engineObserver
	engines   *cluster.Cluster
	changelog *changelogserver.ChangeLog
}

func newEnvironment(hedging bool) (*environment, error) {
	checker := conformance.New(conformance.Rules{
		DrainGrace:      drainGrace,
		Slack:           clockSlack,
		MaxAttempts:     maxAttempts,
		DisconnectGrace: disconnectGrace,
		NoHedging:       !hedging,
	})
	e := &environment{
		checker:  checker,
		observer: &engineObserver{checker: checker, late: map[string]bool{}},
	}
	var err error
	e.engines, err = cluster.New(engineCount, e.observer, func(endpoint changelogserver.Endpoint) error {
		e.changelog.Publish(endpoint)
		return nil
	})
	if err != nil {
		return nil, err
	}
	e.changelog, err = changelogserver.New("127.0.0.1:0", e.engines.Endpoints(), e.observeEndpoint)
	return e, err
}

// observeEndpoint notifies the checker of an engine's state that the change log has reported to the broker.
func (e *environment) observeEndpoint(endpoint changelogserver.Endpoint, at time.Time) {
	if endpoint.Health == "in_service" {
		e.checker.EngineInService(endpoint.ID)
	} else {
		e.checker.EngineDraining(endpoint.ID, at)
	}
}

// run runs the engines and the change log until ctx ends.
func (e *environment) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.engines.Run(ctx) })
	g.Go(func() error { return e.changelog.Run(ctx) })
	return ignoreCanceled(g.Wait())
}

// runFaults runs the scenario of faults.
func (e *environment) runFaults(ctx context.Context) error {
	steps, err := scenario.Parse(faults, cluster.Actions, engineCount)
	if err != nil {
		return err
	}
	return ignoreCanceled(
		scenario.Run(ctx, steps, func(s scenario.Step) error { return e.engines.Apply(ctx, s) }),
	)
}

// newLoad returns clients that send requests of some classes.
func (e *environment) newLoad(address string, seed uint64, classes []client.Class) *client.LoadGenerator {
	return client.New(client.Config{
		Addr:     address,
		Tenants:  cluster.Tenants,
		DataSets: 24,
		Seed:     seed,
		MaxOpen:  256,
		Retries:  1,
		Classes:  classes,
	}, e.checker)
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// measure runs a broker under load and faults, shuts it down as for a planned restart, and prints the verdict of the
// checker.
func measure(ctx context.Context, o options) (err error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	env, err := newEnvironment(o.hedging)
	if err != nil {
		return err
	}
	broker, err := newBroker(ctx, dir, env.changelog, o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	emulators, ctx := errgroup.WithContext(ctx)
	emulators.Go(func() error { return env.run(ctx) })
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- broker.Run(ctx, stop) }() // ends after stop, or with ctx

	address := broker.Server.Addr().String()
	clients := newDisconnectingClients(address, o.seed, env.checker)
	load := startLoad(ctx, func(ctx context.Context, g *errgroup.Group) {
		g.Go(func() error { return env.newLoad(address, o.seed, classes).Run(ctx) })
		g.Go(func() error { return clients.run(ctx) })
		g.Go(func() error { return env.runFaults(ctx) })
	})
	time.Sleep(o.duration) // the length of the run
	if !o.busy {
		err = load.end()
		load = startLoad(ctx, func(ctx context.Context, g *errgroup.Group) {
			quiet := env.newLoad(address, o.seed+quietSeedOffset, classes[:1])
			g.Go(func() error { return quiet.Run(ctx) })
		})
	}
	waitForIdle := clients.startIdle(ctx, env.observer.addLate)
	close(stop)
	time.Sleep(lateLoad)
	err = errors.Join(err, load.end(), waitForIdle(), <-ended)
	cancel()
	if err := errors.Join(err, emulators.Wait()); err != nil {
		return err
	}
	return printVerdict(env.checker.Check(time.Now()), env.observer)
}

// loadPhase is a group of clients and faults that end together.
type loadPhase struct {
	cancel context.CancelFunc
	group  *errgroup.Group
}

func startLoad(ctx context.Context, start func(context.Context, *errgroup.Group)) loadPhase {
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	start(ctx, g)
	return loadPhase{cancel, g}
}

// end stops the phase and waits until its requests have ended.
func (p loadPhase) end() error {
	p.cancel()
	return p.group.Wait()
}

// newBroker returns a broker with the options for hedging and cancellation.
func newBroker(
	ctx context.Context, dir string, changelog *changelogserver.ChangeLog, o options,
) (*service.Service, error) {
	text, err := cluster.Configuration("rare", o.seed, changelog)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	variables := map[string]string{"RELAY_CONFIG": path, "TMPDIR": dir}
	cfg, err := config.Load(func(name string) string { return variables[name] })
	if err != nil {
		return nil, err
	}
	limits := &cfg.Settings.Control.Limits
	limits.Hedging, limits.Cancellation = o.hedging, o.cancellation
	return service.New(ctx, cfg, nil, zap.NewNop())
}
