package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
)

// toolsProgram is the program, beside this one, that runs the commands of toolCommands. They are not part of this
// program because the pages of a program count as memory of the process, and a broker needs none of the code for
// charts and emulators.
const toolsProgram = cli.ProgramName + "-tools"

// toolCommands returns the commands that toolsProgram runs.
func toolCommands() []*cobra.Command {
	emulate := toolCommand("emulate", "Emulate a system that the broker talks to, with faults")
	emulate.Aliases = []string{"standin"}
	return []*cobra.Command{
		emulate,
		toolCommand("report", "Make a page of charts from the recordings of an emulated collector"),
		toolCommand("demo", "Run a broker on loopback with emulated engines, clients and a collector"),
	}
}

func toolCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short,
		DisableFlagParsing: true, // toolsProgram parses them
		RunE:               func(*cobra.Command, []string) error { return runTools(os.Args[1:]) },
	}
}

// completesToolCommand reports whether the arguments ask, for a shell's completion, how a command of toolsProgram
// continues.
func completesToolCommand(args []string) bool {
	if len(args) < 3 || args[0] != cobra.ShellCompRequestCmd && args[0] != cobra.ShellCompNoDescRequestCmd {
		return false
	}
	return slices.ContainsFunc(toolCommands(), func(c *cobra.Command) bool {
		return c.Name() == args[1] || c.HasAlias(args[1])
	})
}

// runTools replaces the process by toolsProgram with the given arguments. It returns only with an error.
func runTools(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find %s: %w", toolsProgram, err)
	}
	path := filepath.Join(filepath.Dir(self), toolsProgram)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("run %s: %w", path, err)
	}
	return nil
}
