package main

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/scenario"
)

// defaultListFile is the default name of the file in which emulated engines are listed for the emulated change log.
const defaultListFile = "engines.json"

// engineFlags holds the flags of emulated engines.
type engineFlags struct {
	count    int
	list     string
	faults   string
	duration time.Duration
}

func emulateEnginesCommand() *cobra.Command {
	var flags engineFlags
	c := &cobra.Command{
		Use:   "engines",
		Short: "Query engines, and a list of them for 'wheatlane emulate changelog'",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return flags.run(c) },
	}
	c.Flags().IntVar(&flags.count, "n", 4, "number of engines")
	c.Flags().StringVar(&flags.list, "list", defaultListFile, "file to write the list to")
	c.Flags().StringVar(&flags.faults, "faults", "",
		"scenario of faults by engine, as in 30s:slow:2,60s:quick:2; "+
			"slow, quick, silent, speak, drain, crash, back, moved")
	c.Flags().DurationVar(&flags.duration, "for", defaultEmulationDuration, "end after this time")
	return c
}

func (f *engineFlags) run(c *cobra.Command) error {
	steps, err := scenario.Parse(f.faults, cluster.Actions, f.count)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	var engines *cluster.Cluster
	writeList := func(changelogserver.Endpoint) error {
		return changelogserver.WriteFile(f.list, engines.Endpoints())
	}
	if engines, err = cluster.New(f.count, nil, writeList); err != nil {
		return err
	}
	if err := changelogserver.WriteFile(f.list, engines.Endpoints()); err != nil {
		return err
	}
	out := cli.Stdout(c)
	out.Printf("%d engines, listed in %s\n", f.count, f.list)
	e := emulation{
		duration: f.duration,
		steps:    steps,
		servers:  []func(context.Context) error{engines.Run},
		apply:    engines.Apply,
	}
	return errors.Join(out.Err(), e.run(c))
}

// changelogActions contains the actions in the scenario of a change log. None of them has a target.
var changelogActions = map[string]bool{
	string(changelogserver.Serve):       false,
	string(changelogserver.Truncating):  false,
	string(changelogserver.Stalling):    false,
	string(changelogserver.Unavailable): false,
}

// changelogFlags holds the flags of an emulated change log.
type changelogFlags struct {
	list     string
	listen   string
	faults   string
	delay    time.Duration
	duration time.Duration
}

func emulateChangelogCommand() *cobra.Command {
	var flags changelogFlags
	c := &cobra.Command{
		Use:   "changelog",
		Short: "A change log that reports the changes of a list of engines",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return flags.run(c) },
	}
	c.Flags().StringVar(
		&flags.list, "list", defaultListFile, "the list, as 'wheatlane emulate engines' writes it",
	)
	c.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:4222", "address and port")
	c.Flags().StringVar(&flags.faults, "faults", "",
		"scenario of faults, as in 30s:stall,60s:serve; serve, break, stall, refuse")
	c.Flags().DurationVar(&flags.delay, "late", 0, "delay of each change")
	c.Flags().DurationVar(&flags.duration, "for", defaultEmulationDuration, "end after this time")
	return c
}

func (f *changelogFlags) run(c *cobra.Command) error {
	steps, err := scenario.Parse(f.faults, changelogActions, 0)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	endpoints, err := changelogserver.ReadFile(f.list)
	if err != nil {
		return err
	}
	changelog, err := changelogserver.New(f.listen, endpoints, nil)
	if err != nil {
		return err
	}
	changelog.SetDelay(f.delay)
	out := cli.Stdout(c)
	out.Printf("listening on %s, %d engines\n", changelog.Addr(), len(endpoints))
	followList := func(ctx context.Context) error { return changelog.FollowFile(ctx, f.list, endpoints) }
	e := emulation{
		duration: f.duration,
		steps:    steps,
		servers:  []func(context.Context) error{changelog.Run, followList},
		apply: func(_ context.Context, step scenario.Step) error {
			changelog.SetMode(changelogserver.Mode(step.Action))
			return nil
		},
	}
	return errors.Join(out.Err(), e.run(c))
}
