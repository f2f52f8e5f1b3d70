// Command wheatlane is a broker: it accepts queries from clients, runs each on the engine and at the time that the
// decision module selects, and returns the results. Without an argument it serves; its other commands are for
// operators.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/earlysignal"
)

func main() {
	if completesToolCommand(os.Args[1:]) {
		_ = runTools(os.Args[1:]) // without the program, a shell gets no completions
		os.Exit(cli.ExitFailed)
	}
	root := rootCommand()
	if command, _, err := root.Find(os.Args[1:]); err == nil && command.Annotations[servesAnnotation] == "" {
		earlysignal.RestoreHangup()
	}
	cli.Execute(root)
}

func rootCommand() *cobra.Command {
	c := cli.Root()
	c.Short = "A broker between the clients of a chart service and its query engines"
	c.Long = `wheatlane is a broker between the clients of a chart service and its query engines.

Without a command it serves, as 'wheatlane serve' does: RELAY_CONFIG names the platform's configuration, and
WHEATLANE_OPERATOR or --operator the operator's configuration.`
	makeServing(c)
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM",
		Args:  cli.CheckArgs(cobra.NoArgs),
	}
	makeServing(serve)
	c.AddCommand(serve, metricsCommand(), configCommand())
	c.AddCommand(toolCommands()...)
	return c
}
