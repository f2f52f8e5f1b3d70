package main

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/demo"
	"wheatlane/internal/emulator/scenario"
)

// The limits of a demo, which runs all its servers and clients on one machine.
const (
	maxDemoEngines = 32
	maxDemoRate    = 500 // requests per second
)

func demoCommand() *cobra.Command {
	var options demo.Options
	var faults string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a broker on loopback with emulated engines, clients and a collector",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return runDemo(c, options, faults) },
	}
	flags := c.Flags()
	flags.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "wheatlane-demo"),
		"directory for the configuration, the log, the metrics and the report")
	flags.IntVar(&options.Engines, "engines", 4, "engines")
	flags.Float64Var(&options.Rate, "rate", 28, "requests a second")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random numbers")
	flags.DurationVar(&options.Duration, "for", 45*time.Second, "end after this time")
	flags.StringVar(&faults, "faults", demo.DefaultScenario, "scenario of faults, as in 8s:slow:2; empty: none")
	return c
}

func runDemo(c *cobra.Command, options demo.Options, faults string) error {
	validEngines := options.Engines >= 1 && options.Engines <= maxDemoEngines
	validRate := options.Rate > 0 && options.Rate <= maxDemoRate
	if !validEngines || !validRate {
		return cli.NewUsageError(
			c, errors.New("1 to 32 engines and up to 500 requests a second can be shown"),
		)
	}
	var err error
	if options.Scenario, err = scenario.Parse(faults, demo.Actions(), options.Engines); err != nil {
		return cli.NewUsageError(c, err)
	}
	ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return demo.Run(ctx, c.OutOrStdout(), options)
}
