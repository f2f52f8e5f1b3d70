package changelogserver

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/goldenfile"
)

// The format of endpoint list files must stay the same: a list of an earlier release must be readable, and the same
// list must be written as the same bytes.
func TestEndpointListMatchesGoldenFile(t *testing.T) {
	const golden = "testdata/engines.json"
	endpoints := []Endpoint{
		{"e1", "127.0.0.1:7001", "north", "std-8core", 2, "in_service", 100, 1750000000000},
		{"e2", "127.0.0.1:7002", "south", "big-16core", 0, "terminating", 50, 0},
		{"e3", "", "", "", 0, "terminated", 0, 0},
	}
	path := filepath.Join(t.TempDir(), "engines.json")
	if err := WriteFile(path, endpoints); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := goldenfile.Content(golden, func() ([]byte, error) { return written, nil })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(stored), string(written)); diff != "" {
		t.Errorf("written list differs from the golden file:\n%s", diff)
	}
	got, err := ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(endpoints, got); diff != "" {
		t.Errorf("list read from the golden file differs (-want +got):\n%s", diff)
	}
}
