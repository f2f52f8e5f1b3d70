package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"wheatlane/internal/collectd"
	"wheatlane/internal/metrics"
)

func metricsCommand() *cobra.Command {
	var asJSON, asMarkdown bool
	list := &cobra.Command{Use: "list", Short: "Print the catalogue of figures", Args: takes(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if asJSON && asMarkdown {
				return &usageError{c.CommandPath(), errors.New("--json and --markdown are two forms of one list")}
			}
			if asJSON {
				return printCatalogue(c)
			}
			if asMarkdown {
				_, err := fmt.Fprint(c.OutOrStdout(), metrics.Markdown())
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "NAME\tKIND\tUNIT\tBY\tDETAIL\tMEANING")
			for _, f := range metrics.Catalogue {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", f.Name, f.Kind, f.Unit, f.By, f.Detail, f.Help)
			}
			return w.Flush()
		}}
	list.Flags().BoolVar(&asJSON, "json", false, "as JSON, with the details of each figure")
	list.Flags().BoolVar(&asMarkdown, "markdown", false, "as a table for a page")
	types := &cobra.Command{Use: "types", Short: "Print the types.db file that collectd needs", Args: takes(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), collectd.TypesDB())
			return err
		}}
	return group("metrics", "What the broker reports", list, types)
}

func printCatalogue(c *cobra.Command) error {
	type figure struct {
		Name    string   `json:"name"`
		Kind    string   `json:"kind"`
		Unit    string   `json:"unit,omitempty"`
		By      string   `json:"by,omitempty"`
		Detail  string   `json:"detail,omitempty"`
		Details []string `json:"details,omitempty"`
		Meaning string   `json:"meaning"`
	}
	all := []figure{}
	for _, f := range metrics.Catalogue {
		all = append(all, figure{f.Name, f.Kind.String(), f.Unit, f.By.String(), f.Detail, f.Parts, f.Help})
	}
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(all)
}
