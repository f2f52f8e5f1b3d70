package description

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// The files that are made of a description are what they were, byte by byte.
func TestWrittenFiles(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"every-key", "testdata/every-key.json"},
		{"deploy", "../../deploy/app.json"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, err := os.ReadFile(c.path)
			if err != nil {
				t.Fatal(err)
			}
			a, found, err := Parse(text)
			if err != nil || len(found) > 0 {
				t.Fatalf("%v, %v", found, err)
			}
			for _, part := range []struct {
				name string
				make func(string) ([]byte, error)
			}{{"broker", a.Broker}, {"operator", a.Operator}} {
				got, err := part.make("by hand")
				if err != nil {
					t.Fatal(err)
				}
				path := filepath.Join("testdata", c.name+"."+part.name+".golden")
				if *update {
					if err := os.WriteFile(path, got, 0o600); err != nil {
						t.Fatal(err)
					}
				}
				want, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(string(want), string(got)); diff != "" {
					t.Errorf("%s: %s", path, diff)
				}
			}
		})
	}
}
