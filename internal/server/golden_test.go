package server

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files of the transcripts anew")

// CompareGolden compares a text with the golden file of a name in testdata, or writes that with -update.
func CompareGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(golden), "\n"), strings.Split(text, "\n")); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}
