package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"wheatlane/internal/cli"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/report"
)

func reportCommand() *cobra.Command {
	var outputFile, title string
	c := &cobra.Command{
		Use:   "report FILE|DIR",
		Short: "Make a page of charts from the recordings of an emulated collector",
		Args:  cli.CheckArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return runReport(c, args[0], outputFile, title)
		},
	}
	c.Flags().StringVarP(&outputFile, "output", "o", "report.html", "file to write")
	c.Flags().StringVar(&title, "title", "What wheatlane reported", "heading of the page")
	return c
}

func runReport(c *cobra.Command, path, outputFile, title string) error {
	samples, err := readRecordings(c, path)
	if err != nil {
		return err
	}
	f, err := os.Create(outputFile)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	findings := collector.Reconcile(samples, 0, nil, nil)
	if err := errors.Join(report.Write(f, title, findings), f.Close()); err != nil {
		return err
	}
	out := cli.Stdout(c)
	out.Println(outputFile)
	return out.Err()
}

// readRecordings reads a recording, or those of a directory in the order of their names. A recording is truncated if
// its collector was killed: its complete samples are used, and a warning is printed to standard error.
func readRecordings(c *cobra.Command, path string) ([]collector.Sample, error) {
	names, err := recordingNames(path)
	if err != nil {
		return nil, fmt.Errorf("find recordings: %w", err)
	}
	warnings := cli.NewOutput(c.ErrOrStderr())
	var samples []collector.Sample
	for _, name := range names {
		recorded, err := readRecording(name)
		if err != nil && len(recorded) == 0 {
			return nil, err
		}
		if err != nil {
			warnings.Printf("truncated after %d samples: %v\n", len(recorded), err)
		}
		samples = append(samples, recorded...)
	}
	return samples, warnings.Err()
}

// recordingNames returns the path of a file itself, or the recordings in a directory in the order of their names.
func recordingNames(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.zst"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("there is no *.zst in %s", path)
	}
	slices.Sort(names)
	return names, nil
}

// readRecording reads a recording. With an error it also returns the samples that precede the error.
func readRecording(name string) ([]collector.Sample, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	defer func() { _ = f.Close() }() // no data is lost, as the file was only read
	samples, err := collector.ReadRecording(f)
	if err != nil {
		return samples, fmt.Errorf("%s: %w", name, err)
	}
	return samples, nil
}
