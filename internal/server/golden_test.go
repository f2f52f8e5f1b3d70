package server

import (
	"path/filepath"
	"testing"

	"wheatlane/internal/goldenfile"
)

// CompareGolden compares a text with the golden file of a name in testdata, or writes that with -update.
func CompareGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	diff, err := goldenfile.Diff(path, text)
	if err != nil {
		t.Fatal(err)
	}
	if diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}
