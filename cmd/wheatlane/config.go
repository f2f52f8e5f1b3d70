package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"wheatlane/internal/operator"
)

func configCommand() *cobra.Command {
	schema := &cobra.Command{Use: "schema", Short: "Print the JSON Schema of the operator's file", Args: takes(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := operator.Schema()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		}}
	check := &cobra.Command{Use: "check FILE", Short: "Check an operator's file", Args: takes(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := operator.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
			return err
		}}
	return group("config", "The files that a broker reads", check, schema)
}
