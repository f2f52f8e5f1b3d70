package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"wheatlane/internal/check"
	"wheatlane/internal/check/diff"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/form"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/description"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
)

// errDiffer says that two files differ, in what is printed.
var errDiffer = errors.New("they differ")

// diffFiles prints what differs in two files.
func diffFiles(c *cobra.Command, one, two string) error {
	var roots []*jsontext.Node
	for _, name := range []string{one, two} {
		text, err := readFile(name)
		if err != nil {
			return &usageError{c.CommandPath(), err}
		}
		root, _, err := jsontext.Parse(text)
		if err != nil {
			return &usageError{c.CommandPath(), fmt.Errorf("%s:%w", name, err)}
		}
		roots = append(roots, root)
	}
	all := diff.Diff(roots[0], roots[1])
	for _, x := range all {
		fmt.Fprintln(c.OutOrStdout(), x)
	}
	if len(all) > 0 {
		return fmt.Errorf("%w in %d places", errDiffer, len(all))
	}
	return nil
}

// readFile reads a file, but not one byte more than shows that it is too large.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, jsontext.MaxText+1))
}

// errFindings says that there are findings, which are printed.
var errFindings = errors.New("there are findings")

func configCommand() *cobra.Command {
	schema := &cobra.Command{Use: "schema", Short: "Print the JSON Schema of the operator's file", Args: takes(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := operatorconfig.Schema()
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
		_, err := fmt.Fprint(c.OutOrStdout(), check.Markdown(table()))
		return err
	}}
	var dir string
	write := &cobra.Command{Use: "write APP.json", Short: "Turn the description of an application into its broker's files, checked",
		Args: takes(cobra.ExactArgs(1)), RunE: func(c *cobra.Command, args []string) error { return writeConfig(c, args[0], dir) }}
	write.Flags().StringVarP(&dir, "output", "o", ".", "folder to write to")
	differ := &cobra.Command{Use: "diff A B", Short: "Compare two files by what they mean; exit code 1 if they differ", Args: takes(cobra.ExactArgs(2)),
		RunE: func(c *cobra.Command, args []string) error { return diffFiles(c, args[0], args[1]) }}
	return group("config", "The files that a broker reads", checks, list, schema, write, differ, explainCommand())
}

// table is every check of all layers.
func table() []check.Check {
	all := append([]check.Check(nil), form.Table...)
	for _, r := range rules.Table {
		all = append(all, r.Check)
	}
	return append(all, fleet.Table...)
}

// checkTexts checks files that were read, each by itself and all together.
func checkTexts(names []string, texts [][]byte) ([]check.Finding, error) {
	all, files := []check.Finding{}, []*check.File{}
	for i, name := range names {
		f, found, err := form.Run(name, texts[i])
		if err != nil {
			return nil, err
		}
		if f != nil {
			found = append(found, rules.Run(f)...)
			files = append(files, f)
		}
		all = append(all, found...)
	}
	all = append(all, fleet.Run(files)...)
	check.Sort(all)
	return all, nil
}

// inFolders are the files named, and those of the folders named.
func inFolders(names []string) (all []string, err error) {
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			all = append(all, name)
			continue
		}
		below, err := filepath.Glob(filepath.Join(name, "*.json"))
		if err != nil {
			return nil, err
		}
		slices.Sort(below)
		all = append(all, below...)
	}
	return all, nil
}

func checkFiles(c *cobra.Command, args []string, asJSON bool) error {
	names, err := inFolders(args)
	if err != nil {
		return &usageError{c.CommandPath(), err}
	}
	var texts [][]byte
	for _, name := range names {
		text, err := readFile(name)
		if err != nil {
			return &usageError{c.CommandPath(), err}
		}
		texts = append(texts, text)
	}
	all, err := checkTexts(names, texts)
	if err != nil {
		return err
	}
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

// The files that are written beside each other.
const (
	brokerFile   = "broker.json"
	operatorFile = "operator.json"
)

// writeConfig turns a description into a broker's files. What the checker finds in them is told, and nothing is written.
func writeConfig(c *cobra.Command, name, dir string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return &usageError{c.CommandPath(), err}
	}
	app, found, err := description.Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for _, f := range found {
		fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name, f)
	}
	if len(found) > 0 {
		return fmt.Errorf("%w: %d in %s", errFindings, len(found), name)
	}
	made := description.Made(filepath.Base(name), text)
	names, texts := []string{}, [][]byte{}
	for _, part := range []struct {
		file string
		make func(string) ([]byte, error)
	}{{brokerFile, app.Broker}, {operatorFile, app.Operator}} {
		out, err := part.make(made)
		if err != nil {
			return err
		}
		if out != nil {
			names, texts = append(names, filepath.Join(dir, part.file)), append(texts, out)
		}
	}
	all, err := checkTexts(names, texts)
	if err != nil {
		return err
	}
	for _, f := range all {
		fmt.Fprintln(c.OutOrStdout(), f)
	}
	if slices.ContainsFunc(all, func(f check.Finding) bool { return f.Severity == check.Fault }) {
		return fmt.Errorf("%w in what %s would give; nothing is written", errFindings, name)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i, file := range names {
		// Whoever reads it finds the old or the new one whole.
		next := file + ".next"
		if err := os.WriteFile(next, texts[i], 0o644); err != nil {
			return err
		}
		if err := os.Rename(next, file); err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), file)
	}
	return nil
}
