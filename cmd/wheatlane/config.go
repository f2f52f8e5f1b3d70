package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"wheatlane/internal/check"
	"wheatlane/internal/cli"
	"wheatlane/internal/operatorconfig"
)

func configCommand() *cobra.Command {
	return cli.Group(
		"config",
		"Work with the files that a broker reads",
		configCheckCommand(),
		configChecksCommand(),
		configSchemaCommand(),
		configWriteCommand(),
		configDiffCommand(),
		configExplainCommand(),
	)
}

func configSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of the operator's configuration",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := operatorconfig.SchemaText()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
}

func configChecksCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "checks",
		Short: "Print the table of checks",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), check.Markdown(allChecks()))
			return err
		},
	}
}
