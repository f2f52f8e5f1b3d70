package server

import (
	"path/filepath"
	"testing"

	"wheatlane/internal/goldenfile"
)

// CompareGolden compares text with the golden file testdata/<name>.golden, or writes that file with -update.
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
