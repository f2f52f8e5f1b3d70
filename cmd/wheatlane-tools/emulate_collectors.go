package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/collectd"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/emulator/scenario"
	"wheatlane/internal/graphite"
)

// clearAction deletes all samples of an emulated collector, like a restart without its disk.
const clearAction = "empty"

// collectorActions contains the actions in the scenario of a collector. None of them has a target.
var collectorActions = map[string]bool{
	string(collector.Serve):       false,
	string(collector.Unreachable): false,
	string(collector.Silent):      false,
	string(collector.Slow):        false,
	string(collector.Truncating):  false,
	string(collector.Lossy):       false,
	string(collector.Reordering):  false,
	clearAction:                   false,
}

// errViolations reports that a broker has sent data that violates the catalogue of metrics.
var errViolations = errors.New("violations in what was received")

// collectorFlags holds the common flags of emulated collectors.
type collectorFlags struct {
	listen   string
	record   string
	faults   string
	duration time.Duration
}

// register adds the flags to c. listen is the default address.
func (f *collectorFlags) register(c *cobra.Command, listen string) {
	c.Flags().StringVar(&f.listen, "listen", listen, "address and port")
	c.Flags().StringVar(&f.record, "record", "", "file to record samples to, for 'wheatlane report'")
	c.Flags().StringVar(&f.faults, "faults", "", "scenario of faults, as in 30s:gone,90s:serve; "+
		"modes: serve, gone, mute, slow, tear (Graphite), lossy, shuffle (collectd), empty")
	c.Flags().DurationVar(&f.duration, "for", defaultEmulationDuration, "end after this time")
}

// emulatedCollector is a carbon or collectd server.
type emulatedCollector interface {
	Addr() string
	SetMode(mode collector.Mode)
	Run(ctx context.Context) error
}

// run runs the collector that start creates until a signal or the end of its duration, and prints a summary of the
// received samples.
func (f *collectorFlags) run(
	c *cobra.Command, start func(*collector.Reconciler) (emulatedCollector, error),
) error {
	steps, err := scenario.Parse(f.faults, collectorActions, 0)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	recording, err := f.openRecording()
	if err != nil {
		return err
	}
	reconciler := collector.NewReconciler(recording.add)
	server, err := start(reconciler)
	if err != nil {
		return errors.Join(err, recording.close())
	}
	out := cli.Stdout(c)
	out.Println("listening on", server.Addr())
	e := emulation{
		duration: f.duration,
		steps:    steps,
		servers:  []func(context.Context) error{server.Run, recording.run},
		apply: func(_ context.Context, step scenario.Step) error {
			if step.Action == clearAction {
				reconciler.Clear()
			} else {
				server.SetMode(collector.Mode(step.Action))
			}
			return nil
		},
	}
	if err := errors.Join(out.Err(), e.run(c), recording.close()); err != nil {
		return err
	}
	return printReceived(out, reconciler.Reconcile())
}

// optionalRecording is a recording, or nil if samples are not recorded.
type optionalRecording struct{ *collector.Recording }

// openRecording creates the recording that the flag specifies, if any.
func (f *collectorFlags) openRecording() (optionalRecording, error) {
	if f.record == "" {
		return optionalRecording{}, nil
	}
	file, err := os.Create(f.record)
	if err != nil {
		return optionalRecording{}, fmt.Errorf("create recording: %w", err)
	}
	recording, err := collector.NewRecording(file)
	return optionalRecording{recording}, err
}

func (r optionalRecording) add(s collector.Sample) {
	if r.Recording != nil {
		r.Add(s)
	}
}

func (r optionalRecording) run(ctx context.Context) error {
	if r.Recording == nil {
		return nil
	}
	return r.Run(ctx)
}

func (r optionalRecording) close() error {
	if r.Recording == nil {
		return nil
	}
	return r.Close()
}

// printReceived prints a summary of the samples that a collector received. It returns errViolations with the
// violations of the catalogue, if any.
func printReceived(out *cli.Output, f *collector.Findings) error {
	out.Printf(
		"%d samples, %d duplicates, %d incomplete intervals\n", f.Samples, f.Duplicated, f.Incomplete,
	)
	for _, r := range f.Incarnations {
		started := time.UnixMilli(r.StartedMS).UTC().Format(time.RFC3339)
		out.Printf("broker %q started %s: %d intervals stand for %d of %d, %d series of counters\n",
			r.Broker, started, len(r.Intervals), r.Represented, r.LastSequence, r.Series)
	}
	if f.OK() {
		return out.Err()
	}
	text, err := json.MarshalIndent(struct {
		Faults  []string       `json:"faults"`
		Unknown map[string]int `json:"unknown"`
		Broken  map[string]int `json:"broken"`
	}{f.Violations, f.Unknown, f.Malformed}, "", "  ")
	if err != nil {
		return err
	}
	return fmt.Errorf("%w: %s", errViolations, text)
}

func emulateGraphiteCommand() *cobra.Command {
	var flags collectorFlags
	var format graphite.PathFormat
	var pickle bool
	c := &cobra.Command{
		Use:   "graphite",
		Short: "A carbon server that checks what it receives",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return flags.run(c, func(r *collector.Reconciler) (emulatedCollector, error) {
				return collector.NewCarbon(flags.listen, format, pickle, r)
			})
		},
	}
	flags.register(c, "127.0.0.1:2003")
	c.Flags().BoolVar(&pickle, "pickle", false, "expect the pickle protocol instead of lines")
	c.Flags().BoolVar(&format.Tags, "tags", false, "expect tags in paths")
	c.Flags().StringVar(&format.Prefix, "prefix", "wheatlane", "expect this prefix of paths")
	return c
}

// collectdSeed is the seed of the simulated loss and reordering of datagrams.
const collectdSeed = 1

// securityLevels maps the values of the flag security to levels.
var securityLevels = map[string]collectd.Level{
	"none":    collectd.Plain,
	"sign":    collectd.Sign,
	"encrypt": collectd.Encrypt,
}

func emulateCollectdCommand() *cobra.Command {
	var flags collectorFlags
	var level, user, passwordFile string
	c := &cobra.Command{
		Use:   "collectd",
		Short: "A collectd server with the network plugin that checks what it receives",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			minLevel, ok := securityLevels[level]
			if !ok {
				return cli.NewUsageError(
					c, fmt.Errorf("security: %q is none of none, sign, encrypt", level),
				)
			}
			password, err := readPassword(passwordFile)
			if err != nil {
				return err
			}
			passwords := func(name string) (string, bool) {
				return password, name == user && user != ""
			}
			reader := collectd.Reader{MinLevel: minLevel, Passwords: passwords}
			return flags.run(c, func(r *collector.Reconciler) (emulatedCollector, error) {
				return collector.NewCollectd(flags.listen, reader, collectdSeed, r)
			})
		},
	}
	flags.register(c, "127.0.0.1:25826")
	c.Flags().StringVar(&level, "security", "none", "required level: none, sign or encrypt")
	c.Flags().StringVar(&user, "user", "", "the user that packets are from")
	c.Flags().StringVar(&passwordFile, "password-file", "", "file with the user's password")
	return c
}

// readPassword reads the password in a file, empty if no file is named.
func readPassword(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("read password file: %w", err)
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}
