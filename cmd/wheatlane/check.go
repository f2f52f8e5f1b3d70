package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"wheatlane/internal/check"
	"wheatlane/internal/check/fileformat"
	"wheatlane/internal/check/fleet"
	"wheatlane/internal/check/rules"
	"wheatlane/internal/cli"
	"wheatlane/internal/jsontext"
)

// errFindings reports that there are findings. They have been printed before.
var errFindings = errors.New("there are findings")

// The output formats of findings.
const (
	formatText = "text"
	formatJSON = "json"
)

func configCheckCommand() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configurations of brokers and of operators, all findings in one pass",
		Long: `Check configurations of brokers and of operators. All findings are reported in one pass, each with
its place, the rule that it violates and what to write instead. The exit code is 0 without findings, 1 with
findings, and 2 where a file can't be read.`,
		Args: cli.CheckArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if format != formatText && format != formatJSON {
				err := fmt.Errorf("format: %q is none of %s, %s", format, formatText, formatJSON)
				return cli.NewUsageError(c, err)
			}
			return runCheck(c, args, format)
		},
	}
	c.Flags().StringVar(&format, "format", formatText, "text or json")
	return c
}

// configFile is a configuration file that is not parsed.
type configFile struct {
	name string
	text []byte
}

// runCheck checks files, and the files in directories, prints the findings, and returns errFindings if there are any.
func runCheck(c *cobra.Command, paths []string, format string) error {
	files, err := readConfigFiles(paths)
	if err != nil {
		return cli.NewUsageError(c, err)
	}
	findings, err := checkFiles(files)
	if err != nil {
		return err
	}
	if err := printFindings(cli.Stdout(c), findings, format); err != nil {
		return err
	}
	if len(findings) > 0 {
		return fmt.Errorf("%w: %d in %d files", errFindings, len(findings), len(files))
	}
	return nil
}

func printFindings(out *cli.Output, findings []check.Finding, format string) error {
	if format == formatJSON {
		return out.PrintJSON(findings)
	}
	for _, f := range findings {
		out.Println(f)
	}
	return out.Err()
}

// checkFiles runs all layers of the checker: the format and the rules on each file, and the fleet's on all files.
func checkFiles(files []configFile) ([]check.Finding, error) {
	findings := []check.Finding{} // not nil, so that it is encoded as a JSON array
	var parsed []*check.File
	for _, file := range files {
		f, found, err := fileformat.Run(file.name, file.text)
		if err != nil {
			return nil, err
		}
		if f != nil {
			found = append(found, rules.Run(f)...)
			parsed = append(parsed, f)
		}
		findings = append(findings, found...)
	}
	findings = append(findings, fleet.Run(parsed)...)
	check.Sort(findings)
	return findings, nil
}

// allChecks returns the checks of all layers.
func allChecks() []check.Check {
	checks := slices.Clone(fileformat.Table)
	for _, rule := range rules.Table {
		checks = append(checks, rule.Check)
	}
	return append(checks, fleet.Table...)
}

// readConfigFiles reads files, and the *.json files of directories.
func readConfigFiles(paths []string) ([]configFile, error) {
	names, err := expandDirectories(paths)
	if err != nil {
		return nil, err
	}
	var files []configFile
	for _, name := range names {
		text, err := readConfigFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, configFile{name, text})
	}
	return files, nil
}

// expandDirectories replaces directories by the *.json files in them.
func expandDirectories(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		inside, err := filepath.Glob(filepath.Join(path, "*.json"))
		if err != nil {
			return nil, err
		}
		slices.Sort(inside)
		names = append(names, inside...)
	}
	return names, nil
}

// readConfigFile reads a file, at most one byte more than the size limit of the parser, which then rejects it.
func readConfigFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // no data is lost, as the file was only read
	return io.ReadAll(io.LimitReader(f, jsontext.MaxTextBytes+1))
}
