package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/report"
)

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{Use: "report FILE|DIR", Short: "Make a page of charts of what a stand-in collector recorded",
		Args: takes(cobra.ExactArgs(1)), RunE: func(c *cobra.Command, args []string) error {
			samples, err := recordings(c, args[0])
			if err != nil {
				return err
			}
			f, err := os.Create(out)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			found := collector.Reconcile(samples, 0, nil, nil)
			if err := errors.Join(report.Write(f, title, found), f.Close()); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), out)
			return nil
		}}
	c.Flags().StringVarP(&out, "output", "o", "report.html", "file to write")
	c.Flags().StringVar(&title, "title", "What wheatlane reported", "heading of the page")
	return c
}

// recordings reads a recording, or all in a folder in the order of their names. One that breaks off is read as far as
// it goes, as its collector may have been killed.
func recordings(c *cobra.Command, path string) ([]collector.Sample, error) {
	files := []string{path}
	if info, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	} else if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*.zst")); err != nil {
			return nil, fmt.Errorf("recording: %w", err)
		}
		if len(files) == 0 {
			return nil, fmt.Errorf("recording: there is no *.zst in %s", path)
		}
		slices.Sort(files)
	}
	var all []collector.Sample
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("recording: %w", err)
		}
		some, err := collector.ReadRecording(f)
		f.Close()
		if err != nil && len(some) == 0 {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if err != nil {
			fmt.Fprintf(c.ErrOrStderr(), "%s breaks off after %d samples: %v\n", name, len(some), err)
		}
		all = append(all, some...)
	}
	return all, nil
}
