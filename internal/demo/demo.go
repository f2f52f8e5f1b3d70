// Package demo runs a real broker on loopback with emulated engines, change log, clients and collector. The broker is
// configured from files like one in production.
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

// Options configures a demo.
type Options struct {
	Dir      string  // directory for the output files
	Engines  int     // number of engines
	Rate     float64 // requests a second of all classes together
	Seed     uint64
	Duration time.Duration   // the demo ends automatically after this time
	Scenario []scenario.Step // faults to inject into engines and the collector
}

// The actions on the collector, by their names in scenarios.
const (
	actionCollectorGone   = "collector-gone"
	actionCollectorSilent = "collector-mute"
	actionCollectorServe  = "collector-serve"
)

// Actions returns the actions of demo scenarios, as scenario.Parse accepts them: those on engines, which require the
// number of an engine, and those on the collector.
func Actions() map[string]bool {
	actions := map[string]bool{
		actionCollectorGone: false, actionCollectorSilent: false, actionCollectorServe: false,
	}
	for action := range cluster.Actions {
		actions[action] = true
	}
	return actions
}

// DefaultScenario is the scenario that a demo runs by default.
const DefaultScenario = "8s:slow:2,14s:quick:2,16s:collector-gone,20s:drain:3,24s:moved:3,28s:crash:1," +
	"33s:back:1,36s:collector-serve"

// demonstration is a running demo.
type demonstration struct {
	options    Options
	out        io.Writer
	checker    *conformance.Checker
	engines    *cluster.Cluster
	changes    *changelogserver.ChangeLog
	reconciler *collector.Reconciler
	recording  *collector.Recording
	carbon     *collector.Carbon
	broker     *service.Service
	load       *client.LoadGenerator
}

// Run runs the demo until ctx is done or its duration has passed, and writes its output files. It returns an error for
// each rule that was violated.
func Run(ctx context.Context, out io.Writer, o Options) error {
	d := &demonstration{options: o, out: out}
	if err := d.createEmulators(); err != nil {
		return err
	}
	logs, err := d.create(logFile)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }() // the result of the demo does not depend on the log
	if err := d.createBroker(ctx, logs); err != nil {
		return err
	}
	d.printf("broker at %s, %d engines, change log at %s, collector at %s; files in %s\n",
		d.broker.Server.Addr(), o.Engines, d.changes.Addr(), d.carbon.Addr(), o.Dir)
	err = d.run(ctx)
	closeErr := d.recording.Close()
	if err != nil {
		return err
	}
	if closeErr != nil {
		return closeErr
	}
	return d.finish()
}

// run runs all parts. The load ends first, then the broker, then the emulators that the broker is connected to.
func (d *demonstration) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.Duration)
	defer cancel()
	emulatorsCtx, stopEmulators := context.WithCancel(context.WithoutCancel(ctx))
	defer stopEmulators()
	emulators, emulatorsCtx := errgroup.WithContext(emulatorsCtx)
	runs := []func(context.Context) error{d.engines.Run, d.changes.Run, d.carbon.Run, d.recording.Run}
	for _, run := range runs {
		emulators.Go(func() error { return run(emulatorsCtx) })
	}
	stopBroker := make(chan struct{})
	broker, brokerCtx := errgroup.WithContext(emulatorsCtx)
	broker.Go(func() error { return d.broker.Run(brokerCtx, stopBroker) })

	err := d.runLoad(ctx)
	d.carbon.SetMode(collector.Serve) // so that the broker can deliver buffered intervals
	close(stopBroker)
	err = errors.Join(err, broker.Wait())
	stopEmulators()
	return errors.Join(err, emulators.Wait())
}

// runLoad sends requests, injects the scenario's faults and prints the progress until ctx is done.
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

// printf prints to the demo's output. It ignores errors, as the demo goes on without a reader.
func (d *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}
