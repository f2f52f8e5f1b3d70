package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wheatlane/internal/check"
	"wheatlane/internal/check/form"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/operator"
)

// errFindings says that there are findings, which are printed.
var errFindings = errors.New("there are findings")

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
	var format string
	checks := &cobra.Command{Use: "check FILE...", Short: "Check configurations of brokers and operators' files, all findings in one pass",
		Long: `Check configurations of brokers and operators' files. All findings are told in one pass, each with its place, the rule
that it breaks and what to write instead. The exit code is 0 without findings, 1 with, and 2 where a file can't be read.`,
		Args: takes(cobra.MinimumNArgs(1)), RunE: func(c *cobra.Command, args []string) error {
			if format != "text" && format != "json" {
				return &usageError{c.CommandPath(), fmt.Errorf("format: %q is none of text, json", format)}
			}
			return checkFiles(c, args, format == "json")
		}}
	checks.Flags().StringVar(&format, "format", "text", "text or json")
	list := &cobra.Command{Use: "checks", Short: "Print the table of checks", Args: takes(cobra.NoArgs), RunE: func(c *cobra.Command, _ []string) error {
		all := append([]check.Check(nil), form.Table...)
		for _, r := range rules.Table {
			all = append(all, r.Check)
		}
		_, err := fmt.Fprint(c.OutOrStdout(), check.Markdown(all))
		return err
	}}
	return group("config", "The files that a broker reads", checks, list, schema)
}

func checkFiles(c *cobra.Command, names []string, asJSON bool) error {
	all := []check.Finding{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return &usageError{c.CommandPath(), err}
		}
		f, found, err := form.Run(name, text)
		if err != nil {
			return err
		}
		if f != nil {
			found = append(found, rules.Run(f)...)
		}
		all = append(all, found...)
	}
	check.Sort(all)
	if asJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		if err := e.Encode(all); err != nil {
			return err
		}
	} else {
		for _, f := range all {
			fmt.Fprintln(c.OutOrStdout(), f)
		}
	}
	if len(all) > 0 {
		return fmt.Errorf("%w: %d in %d files", errFindings, len(all), len(names))
	}
	return nil
}
