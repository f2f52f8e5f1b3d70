package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/collectd"
	"wheatlane/internal/metrics"
)

func metricsCommand() *cobra.Command {
	return cli.Group(
		"metrics", "Show what the broker reports", metricsListCommand(), metricsTypesCommand(),
	)
}

func metricsListCommand() *cobra.Command {
	var asJSON, asMarkdown bool
	c := &cobra.Command{
		Use:   "list",
		Short: "Print the catalogue of metrics",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			w := c.OutOrStdout()
			switch {
			case asJSON && asMarkdown:
				return cli.NewUsageError(
					c, errors.New("--json and --markdown are two forms of one list"),
				)
			case asJSON:
				return printCatalogueJSON(w)
			case asMarkdown:
				_, err := fmt.Fprint(w, metrics.Markdown())
				return err
			}
			return printCatalogue(w)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON, with the details of each metric")
	c.Flags().BoolVar(&asMarkdown, "markdown", false, "as a Markdown table")
	return c
}

func metricsTypesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "types",
		Short: "Print the types.db file that collectd needs",
		Args:  cli.CheckArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), collectd.TypesDB())
			return err
		},
	}
}

func printCatalogue(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	out := cli.NewOutput(table)
	out.Println("NAME\tKIND\tUNIT\tBY\tDETAIL\tMEANING")
	for _, metric := range metrics.Catalogue {
		out.Printf("%s\t%s\t%s\t%s\t%s\t%s\n",
			metric.Name, metric.Kind, metric.Unit, metric.Dimension, metric.Label, metric.Help)
	}
	return errors.Join(out.Err(), table.Flush())
}

// catalogueEntry is a metric in the output of 'metrics list --json'.
type catalogueEntry struct {
	Name    string   `json:"name"`
	Kind    string   `json:"kind"`
	Unit    string   `json:"unit,omitempty"`
	By      string   `json:"by,omitempty"`
	Detail  string   `json:"detail,omitempty"`
	Details []string `json:"details,omitempty"`
	Meaning string   `json:"meaning"`
}

func printCatalogueJSON(w io.Writer) error {
	entries := make([]catalogueEntry, 0, len(metrics.Catalogue))
	for _, metric := range metrics.Catalogue {
		entries = append(entries, catalogueEntry{
			Name:    metric.Name,
			Kind:    metric.Kind.String(),
			Unit:    metric.Unit,
			By:      metric.Dimension.String(),
			Detail:  metric.Label,
			Details: metric.LabelValues,
			Meaning: metric.Help,
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(entries)
}
