package handover

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// A file that an earlier release left is read, and the same state is written in the same bytes.
func TestStoredFile(t *testing.T) {
	for _, c := range []struct {
		file, broker string
		engines      []string
	}{
		{"two-engines", "n3", []string{"e1", "engine 7\"é"}},
		{"none", "broker of ours", nil},
	} {
		t.Run(c.file, func(t *testing.T) {
			path := filepath.Join("testdata", c.file)
			written := Encode(State{Broker: c.broker, MaintenanceEngines: c.engines})
			if *update {
				if err := os.WriteFile(path, written, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(stored), string(written)); diff != "" {
				t.Errorf("written: %s", diff)
			}
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "wheatlane-handover"), stored, 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := Read(dir, c.broker)
			if err != nil {
				t.Fatal(err)
			}
			if got.Broker != c.broker || !cmp.Equal(got.MaintenanceEngines, c.engines) {
				t.Errorf("read: %q, %q", got.Broker, got.MaintenanceEngines)
			}
		})
	}
}
