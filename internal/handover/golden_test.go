package handover

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/goldenfile"
)

// TestFileFormatIsStable guards against an incompatible change of the file format: the files of earlier releases are
// read, and the same state is written as the same bytes.
func TestFileFormatIsStable(t *testing.T) {
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
			stored, err := goldenfile.Content(path, func() ([]byte, error) { return written, nil })
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(stored), string(written)); diff != "" {
				t.Errorf("written file (-want +got):\n%s", diff)
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
