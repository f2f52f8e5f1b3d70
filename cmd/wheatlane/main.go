// Command wheatlane is a broker: it takes queries from clients, lets the decision module choose when and on
// which engine each runs, and answers. Without an argument it serves; its other commands are for those who run it.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitFailed = 1 // it could not do what was asked
	exitUsage  = 2 // what was asked can't be understood
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wheatlane:", err)
		var usage *usageError
		if errors.As(err, &usage) {
			fmt.Fprintf(os.Stderr, "Run '%s --help' for what it takes.\n", usage.command)
			os.Exit(exitUsage)
		}
		os.Exit(exitFailed)
	}
}

// usageError is of a command line that can't be understood.
type usageError struct {
	command string
	err     error
}

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// takes marks what a check of arguments finds as wrong use.
func takes(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return &usageError{c.CommandPath(), err}
		}
		return nil
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "wheatlane",
		Short: "A broker between the clients of a chart service and its query engines",
		Long: `wheatlane is a broker between the clients of a chart service and its query engines.

Without a command it serves, as 'wheatlane serve' does: RELAY_CONFIG names the platform's configuration, and
WHEATLANE_OPERATOR or --operator the operator's own file.`,
		Args:          takes(cobra.NoArgs),
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return &usageError{c.CommandPath(), err} })
	serves(c)
	serve := &cobra.Command{Use: "serve", Short: "Serve clients until SIGTERM", Args: takes(cobra.NoArgs)}
	serves(serve)
	c.AddCommand(serve, metricsCommand(), configCommand(), standinCommand(), reportCommand(), demoCommand())
	return c
}

// group is a command that only holds others.
func group(use, short string, of ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: takes(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
		return &usageError{c.CommandPath(), errors.New("a command is missing")}
	}}
	c.AddCommand(of...)
	return c
}

// version is what the Go tool knows of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
