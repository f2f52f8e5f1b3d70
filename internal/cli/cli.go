// Package cli holds what the command lines of the programs share: exit codes, usage errors and printed output.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	ExitFailed = 1 // the command failed
	ExitUsage  = 2 // the command line is invalid, or a file that it names can't be read
)

// ProgramName is the name of the program on its command lines, also where another program of the same build runs a
// command for it.
const ProgramName = "wheatlane"

// Execute runs the command line of the process and ends the process unless the command succeeds.
func Execute(root *cobra.Command) {
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", ProgramName, err)
	if usage, ok := errors.AsType[*UsageError](err); ok {
		fmt.Fprintf(os.Stderr, "Run '%s --help' for usage.\n", usage.command)
		os.Exit(ExitUsage)
	}
	os.Exit(ExitFailed)
}

// UsageError reports invalid usage of a command.
type UsageError struct {
	command string // the full path of the command
	err     error
}

// NewUsageError returns a UsageError of the command c with the cause err.
func NewUsageError(c *cobra.Command, err error) error { return &UsageError{c.CommandPath(), err} }

func (e *UsageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.err }

// CheckArgs converts the errors of an argument check into usage errors.
func CheckArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return NewUsageError(c, err)
		}
		return nil
	}
}

// Root returns the root of a command line, without commands.
func Root() *cobra.Command {
	c := &cobra.Command{
		Use:           ProgramName,
		Args:          CheckArgs(cobra.NoArgs),
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.SetFlagErrorFunc(NewUsageError)
	return c
}

// Group returns a command that can only be run with one of its subcommands.
func Group(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return NewUsageError(c, errors.New("a command is missing"))
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

// Output prints the output of a command. After the first error, which Err returns, nothing more is printed.
type Output struct {
	w        io.Writer
	firstErr error
}

// NewOutput returns an Output that prints to w.
func NewOutput(w io.Writer) *Output { return &Output{w: w} }

// Stdout returns the standard output of a command.
func Stdout(c *cobra.Command) *Output { return NewOutput(c.OutOrStdout()) }

// Printf prints a formatted text.
func (o *Output) Printf(format string, args ...any) {
	if o.firstErr == nil {
		_, o.firstErr = fmt.Fprintf(o.w, format, args...)
	}
}

// Println prints a line.
func (o *Output) Println(args ...any) {
	if o.firstErr == nil {
		_, o.firstErr = fmt.Fprintln(o.w, args...)
	}
}

// PrintJSON prints a value as indented JSON.
func (o *Output) PrintJSON(value any) error {
	encoder := json.NewEncoder(o.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Err returns the first error of printing.
func (o *Output) Err() error { return o.firstErr }
