package main

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wheatlane/internal/demo"
	"wheatlane/internal/emulator/scenario"
)

func demoCommand() *cobra.Command {
	var o demo.Options
	var faults string
	c := &cobra.Command{Use: "demo", Short: "Show a broker at work on loopback, with engines, clients and a collector played here",
		Args: takes(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Engines < 1 || o.Engines > 32 || o.Rate <= 0 || o.Rate > 500 {
				return &usageError{c.CommandPath(), errors.New("1 to 32 engines and up to 500 requests a second can be shown")}
			}
			if o.Script, err = scenario.Parse(faults, demo.Verbs(), o.Engines); err != nil {
				return &usageError{c.CommandPath(), err}
			}
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return demo.Run(ctx, c.OutOrStdout(), o)
		}}
	c.Flags().StringVar(&o.Dir, "dir", filepath.Join(os.TempDir(), "wheatlane-demo"), "folder for the configuration, the log, the figures and the report")
	c.Flags().IntVar(&o.Engines, "engines", 4, "engines")
	c.Flags().Float64Var(&o.Rate, "rate", 28, "requests a second")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "for what is drawn at random")
	c.Flags().DurationVar(&o.For, "for", 45*time.Second, "end after this time")
	c.Flags().StringVar(&faults, "faults", demo.Faults, "what goes wrong when, as in 8s:slow:2; empty: nothing")
	return c
}
