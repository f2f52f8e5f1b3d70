package main

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/cli"
	"wheatlane/internal/emulator/scenario"
)

// emulateCommand returns the group of the emulators. Its alias is 'standin'.
func emulateCommand() *cobra.Command {
	group := cli.Group(
		"emulate",
		"Emulate a system that the broker talks to, with faults",
		emulateGraphiteCommand(),
		emulateCollectdCommand(),
		emulateEnginesCommand(),
		emulateChangelogCommand(),
	)
	group.Aliases = []string{"standin"}
	return group
}

// defaultEmulationDuration is the duration of an emulator that no flag specifies.
const defaultEmulationDuration = time.Hour

// emulation runs the servers of an emulator and the scenario of their faults concurrently.
type emulation struct {
	duration time.Duration // maximum run time
	steps    []scenario.Step
	apply    func(context.Context, scenario.Step) error
	servers  []func(context.Context) error
}

// run runs until a signal, the end of the duration, or an error. It prints each step when it is applied.
func (e *emulation) run(c *cobra.Command) error {
	ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, e.duration)
	defer cancelTimeout()
	g, ctx := errgroup.WithContext(ctx)
	for _, server := range e.servers {
		g.Go(func() error { return server(ctx) })
	}
	out := cli.Stdout(c)
	g.Go(func() error {
		return scenario.Run(ctx, e.steps, func(step scenario.Step) error {
			out.Println(step)
			return errors.Join(out.Err(), e.apply(ctx, step))
		})
	})
	return g.Wait()
}
