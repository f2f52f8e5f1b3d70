// Package goldenfile compares what a test got with a file that holds what it is to get. Tests alone import it: it
// registers their flag -update, with which the files are written anew.
package goldenfile

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestingT is what Compare needs of a test.
type TestingT interface {
	Helper()
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

// Compare fails a test if got differs from the content of a file. With -update it writes the file first.
func Compare(t TestingT, path, got string) {
	t.Helper()
	diff, err := Diff(path, got)
	if err != nil {
		t.Fatal(err)
	}
	if diff != "" {
		t.Errorf("%s: %s", path, diff)
	}
}

// Diff returns how got differs from the content of a file; "" if it does not. With -update it writes the file first.
func Diff(path, got string) (string, error) {
	want, err := Content(path, func() ([]byte, error) { return []byte(got), nil })
	if err != nil {
		return "", err
	}
	return cmp.Diff(string(want), got), nil
}

// Content returns the content of a file. With -update it writes what generate returns to the file first.
func Content(path string, generate func() ([]byte, error)) ([]byte, error) {
	if *update {
		generated, err := generate()
		if err != nil {
			return nil, fmt.Errorf("generate the golden file %s: %w", path, err)
		}
		if err := os.WriteFile(path, generated, 0o600); err != nil {
			return nil, fmt.Errorf("update a golden file: %w", err)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read a golden file: %w", err)
	}
	return content, nil
}
