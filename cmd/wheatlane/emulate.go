package main

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/scenario"
)

// emulateCommand groups the emulators. `standin` is accepted in its place.
func emulateCommand() *cobra.Command {
	group := commandGroup(
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

// maxEmulation is how long an emulator runs unless a flag says otherwise.
const maxEmulation = time.Hour

// emulation is what runs beside each other while an emulator does: its servers, and the scenario of its
// faults.
type emulation struct {
	duration time.Duration // the longest time that it runs
	steps    []scenario.Step
	apply    func(context.Context, scenario.Step) error
	servers  []func(context.Context) error
}

// run runs until a signal, the end of the duration, or an error. Steps are printed as they are applied.
func (e *emulation) run(c *cobra.Command) error {
	ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, e.duration)
	defer cancelTimeout()
	g, ctx := errgroup.WithContext(ctx)
	for _, server := range e.servers {
		g.Go(func() error { return server(ctx) })
	}
	out := stdout(c)
	g.Go(func() error {
		return scenario.Run(ctx, e.steps, func(step scenario.Step) error {
			out.println(step)
			return errors.Join(out.err(), e.apply(ctx, step))
		})
	})
	return g.Wait()
}
