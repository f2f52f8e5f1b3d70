package description

import (
	"os"
	"path/filepath"
	"testing"

	"wheatlane/internal/goldenfile"
)

// The files that are generated from a description match the golden files byte for byte.
func TestGeneratedFiles(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"every-key", "testdata/every-key.json"},
		{"deploy", "../../deploy/app.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, err := os.ReadFile(c.path)
			if err != nil {
				t.Fatal(err)
			}
			a, violations, err := Parse(text)
			if err != nil || len(violations) > 0 {
				t.Fatalf("got violations %v, error %v, want none", violations, err)
			}
			compareGenerated(t, filepath.Join("testdata", c.name+".broker.golden"), a.BrokerFile)
			compareGenerated(t, filepath.Join("testdata", c.name+".operator.golden"), a.OperatorFile)
		})
	}
}

// compareGenerated compares a generated file with a golden file.
func compareGenerated(t *testing.T, path string, generate func(provenance string) ([]byte, error)) {
	t.Helper()
	got, err := generate("by hand")
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, path, string(got))
}
