// Package goldenfile compares the output of tests with golden files, which hold the expected output. Only tests
// import it: it registers the flag -update, which rewrites the golden files.
package goldenfile

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestingT is the subset of testing.TB that Compare uses.
type TestingT interface {
	Helper()
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

// Compare reports an error to t if got differs from the content of the file at path. With -update it writes got to
// the file first.
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

// Diff returns the difference between the content of the file at path and got, empty if they are equal. With -update
// it writes got to the file first.
func Diff(path, got string) (string, error) {
	want, err := Content(path, func() ([]byte, error) { return []byte(got), nil })
	if err != nil {
		return "", err
	}
	return cmp.Diff(string(want), got), nil
}

// Content returns the content of the file at path. With -update it writes the result of generate to the file first;
// otherwise generate is not called.
func Content(path string, generate func() ([]byte, error)) ([]byte, error) {
	if *update {
		generated, err := generate()
		if err != nil {
			return nil, fmt.Errorf("generate golden file %s: %w", path, err)
		}
		if err := os.WriteFile(path, generated, 0o600); err != nil {
			return nil, fmt.Errorf("update golden file: %w", err)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read golden file: %w", err)
	}
	return content, nil
}
