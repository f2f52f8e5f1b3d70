package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"wheatlane/internal/check/diff"
	"wheatlane/internal/cli"
	"wheatlane/internal/jsontext"
)

// errDiffer reports that two files differ. The differences have been printed before.
var errDiffer = errors.New("they differ")

func configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff A B",
		Short: "Compare two files by their meaning; exit code 1 if they differ",
		Args:  cli.CheckArgs(cobra.ExactArgs(2)),
		RunE:  func(c *cobra.Command, args []string) error { return runDiff(c, args[0], args[1]) },
	}
}

// runDiff prints the differences between two files by their meaning, and returns errDiffer if there are any.
func runDiff(c *cobra.Command, oldName, newName string) error {
	oldRoot, err := parseConfigFile(oldName)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	newRoot, err := parseConfigFile(newName)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	changes := diff.Diff(oldRoot, newRoot)
	out := cli.Stdout(c)
	for _, change := range changes {
		out.Println(change)
	}
	if err := out.Err(); err != nil {
		return err
	}
	if len(changes) > 0 {
		return fmt.Errorf("%w in %d places", errDiffer, len(changes))
	}
	return nil
}

func parseConfigFile(name string) (*jsontext.Node, error) {
	text, err := readConfigFile(name)
	if err != nil {
		return nil, err
	}
	root, _, err := jsontext.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", name, err)
	}
	return root, nil
}
