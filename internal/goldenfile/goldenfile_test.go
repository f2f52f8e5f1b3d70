package goldenfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

func TestDiffComparesWithFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden")
	if _, err := Diff(path, "text"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a file: got error %v, want fs.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		got     string
		differs bool
	}{{"text", false}, {"another text", true}, {"", true}} {
		diff, err := Diff(path, c.got)
		if err != nil {
			t.Fatal(err)
		}
		if (diff != "") != c.differs {
			t.Errorf("%q: got diff %q, want any: %v", c.got, diff, c.differs)
		}
	}
}
