// Package demo shows a broker at work on loopback: emulated engines, change log, clients and collector with
// a real broker among them, which is configured as one in service is.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/service"
)

// Options are what the demo shows.
type Options struct {
	Dir      string  // of the files that it leaves
	Engines  int     // how many there are
	Rate     float64 // requests a second, all classes together
	Seed     uint64
	Duration time.Duration   // the demo ends by itself after this time
	Scenario []scenario.Step // faults of engines and of the collector
}

// The actions on the collector, as scenarios word them.
const (
	actionCollectorGone   = "collector-gone"
	actionCollectorSilent = "collector-mute"
	actionCollectorServe  = "collector-serve"
)

// Actions returns the actions of a scenario: those on engines, which take the number of one, and those on the
// collector.
func Actions() map[string]bool {
	actions := map[string]bool{
		actionCollectorGone: false, actionCollectorSilent: false, actionCollectorServe: false,
	}
	for v := range cluster.Actions {
		actions[v] = true
	}
	return actions
}

// DefaultScenario is the scenario of a demo without another one.
const DefaultScenario = "8s:slow:2,14s:quick:2,16s:collector-gone,20s:drain:3,24s:moved:3,28s:crash:1," +
	"33s:back:1,36s:collector-serve"

// demonstration is a demo that runs.
type demonstration struct {
	options    Options
	out        io.Writer
	checker    *conformance.Checker
	engines    *cluster.Cluster
	changes    *changelogserver.ChangeLog
	reconciler *collector.Reconciler
	figures    *collector.Recording
	carbon     *collector.Carbon
	broker     *service.Service
	load       *client.LoadGenerator
}

// Run shows the broker until ctx ends or the demo's time is over, and leaves files in a folder. It returns
// an error for each rule that was violated.
func Run(ctx context.Context, out io.Writer, o Options) error {
	d := &demonstration{options: o, out: out}
	if err := d.emulate(); err != nil {
		return err
	}
	logs, err := d.create(logFile)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }() // nothing of the demo's result depends on the log
	if err := d.startBroker(ctx, logs); err != nil {
		return err
	}
	d.printf("broker at %s, %d engines, change log at %s, collector at %s; files in %s\n",
		d.broker.Server.Addr(), o.Engines, d.changes.Addr(), d.carbon.Addr(), o.Dir)
	err = d.run(ctx)
	closed := d.figures.Close()
	if err != nil {
		return err
	}
	if closed != nil {
		return closed
	}
	return d.finish()
}

// run runs all parts. The load ends first, then the broker, then what that talks to.
func (d *demonstration) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.Duration)
	defer cancel()
	outer, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	emulators, outer := errgroup.WithContext(outer)
	runs := []func(context.Context) error{d.engines.Run, d.changes.Run, d.carbon.Run, d.figures.Run}
	for _, run := range runs {
		emulators.Go(func() error { return run(outer) })
	}
	stop := make(chan struct{})
	broker, inner := errgroup.WithContext(outer)
	broker.Go(func() error { return d.broker.Run(inner, stop) })

	err := d.runLoad(ctx)
	d.carbon.SetMode(collector.Serve) // so that what waits is delivered
	close(stop)
	err = errors.Join(err, broker.Wait())
	end()
	return errors.Join(err, emulators.Wait())
}

// runLoad sends requests, injects the scenario's faults and prints the progress until ctx ends.
func (d *demonstration) runLoad(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.load.Run(ctx) })
	g.Go(func() error {
		return scenario.Run(ctx, d.options.Scenario, func(step scenario.Step) error {
			d.printf("--- %v\n", step)
			return d.applyStep(ctx, step)
		})
	})
	g.Go(func() error {
		d.printProgress(ctx)
		return nil
	})
	return g.Wait()
}

func (d *demonstration) applyStep(ctx context.Context, step scenario.Step) error {
	switch step.Action {
	case actionCollectorGone:
		d.carbon.SetMode(collector.Unreachable)
	case actionCollectorSilent:
		d.carbon.SetMode(collector.Silent)
	case actionCollectorServe:
		d.carbon.SetMode(collector.Serve)
	default:
		return d.engines.Apply(ctx, step)
	}
	return nil
}

// printf prints to the demo's reader. One that is gone changes nothing of what runs.
func (d *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}
