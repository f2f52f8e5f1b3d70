// Command wheatlane is a broker: it accepts queries from clients, runs each on the engine and at the time that the
// decision module selects, and returns the results. Without an argument it serves; its other commands are for
// operators.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"wheatlane/internal/earlysignal"
)

// The exit codes.
const (
	exitFailed = 1 // the command failed
	exitUsage  = 2 // the command line is invalid, or a file that it names can't be read
)

func main() {
	root := rootCommand()
	if command, _, err := root.Find(os.Args[1:]); err == nil && command.Annotations[servesAnnotation] == "" {
		earlysignal.RestoreHangup()
	}
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wheatlane:", err)
	if usage, ok := errors.AsType[*usageError](err); ok {
		fmt.Fprintf(os.Stderr, "Run '%s --help' for usage.\n", usage.command)
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// usageError reports invalid usage of a command.
type usageError struct {
	command string // the full path of the command
	err     error
}

// newUsageError returns a usageError of the command c with the cause err.
func newUsageError(c *cobra.Command, err error) error { return &usageError{c.CommandPath(), err} }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// checkArgs converts the errors of an argument check into usage errors.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return newUsageError(c, err)
		}
		return nil
	}
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "wheatlane",
		Short: "A broker between the clients of a chart service and its query engines",
		Long: `wheatlane is a broker between the clients of a chart service and its query engines.

Without a command it serves, as 'wheatlane serve' does: RELAY_CONFIG names the platform's configuration, and
WHEATLANE_OPERATOR or --operator the operator's configuration.`,
		Args:          checkArgs(cobra.NoArgs),
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.SetFlagErrorFunc(newUsageError)
	makeServing(c)
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM",
		Args:  checkArgs(cobra.NoArgs),
	}
	makeServing(serve)
	c.AddCommand(
		serve, metricsCommand(), configCommand(), emulateCommand(), reportCommand(), demoCommand(),
	)
	return c
}

// commandGroup returns a command that can only be run with one of its subcommands.
func commandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return newUsageError(c, errors.New("a command is missing"))
		},
	}
	c.AddCommand(subcommands...)
	return c
}

// version returns the module version, the source revision and the Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v += " " + setting.Value
		}
	}
	return v + " " + info.GoVersion
}
