package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"wheatlane/internal/check"
	"wheatlane/internal/cli"
	"wheatlane/internal/description"
)

// The names of the generated files.
const (
	brokerFileName   = "broker.json"
	operatorFileName = "operator.json"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

func configWriteCommand() *cobra.Command {
	var directory string
	c := &cobra.Command{
		Use:   "write APP.json",
		Short: "Generate a broker's files from the description of an application, checked",
		Args:  cli.CheckArgs(cobra.ExactArgs(1)),
		RunE:  func(c *cobra.Command, args []string) error { return runWrite(c, args[0], directory) },
	}
	c.Flags().StringVarP(&directory, "output", "o", ".", "directory to write to")
	return c
}

// runWrite generates a broker's files, checks them, and prints the findings. It writes nothing if a finding is a
// fault.
func runWrite(c *cobra.Command, descriptionName, directory string) error {
	files, err := generateFiles(c, descriptionName, directory)
	if err != nil {
		return err
	}
	findings, err := checkFiles(files)
	if err != nil {
		return err
	}
	out := cli.Stdout(c)
	for _, f := range findings {
		out.Println(f)
	}
	if slices.ContainsFunc(findings, func(f check.Finding) bool { return f.Severity == check.Fault }) {
		return fmt.Errorf("%w in the files of %s; nothing is written", errFindings, descriptionName)
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	for _, file := range files {
		if err := replaceFile(file); err != nil {
			return err
		}
		out.Println(file.name)
	}
	return out.Err()
}

// generateFiles generates the files from a description, without writing them. It prints violations of the
// description's schema, and returns an error if there are any.
func generateFiles(c *cobra.Command, descriptionName, directory string) ([]configFile, error) {
	text, err := os.ReadFile(descriptionName)
	if err != nil {
		return nil, cli.NewUsageError(c, err)
	}
	application, violations, err := description.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", descriptionName, err)
	}
	out := cli.Stdout(c)
	for _, v := range violations {
		out.Printf("%s: %s\n", descriptionName, v)
	}
	if err := out.Err(); err != nil {
		return nil, err
	}
	if len(violations) > 0 {
		return nil, fmt.Errorf("%w: %d in %s", errFindings, len(violations), descriptionName)
	}
	provenance := description.Provenance(filepath.Base(descriptionName), text)
	var files []configFile
	for _, generated := range []struct {
		name     string
		generate func(provenance string) ([]byte, error)
	}{
		{brokerFileName, application.BrokerFile},
		{operatorFileName, application.OperatorFile},
	} {
		content, err := generated.generate(provenance)
		if err != nil {
			return nil, err
		}
		if content != nil {
			files = append(files, configFile{filepath.Join(directory, generated.name), content})
		}
	}
	return files, nil
}

// replaceFile replaces a file atomically, by the rename of a temporary file: a reader gets the complete old or new
// content.
func replaceFile(file configFile) error {
	temporary := file.name + ".next"
	if err := os.WriteFile(temporary, file.text, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, file.name)
}
