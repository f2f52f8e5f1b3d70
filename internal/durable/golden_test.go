package durable

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/goldenfile"
)

const (
	storedSnapshot = "a snapshot: [1 2 3]"
	storedFile     = "log-0000000000000002"
)

var storedRecords = [][]byte{[]byte("first"), {}, {0, 1, 2, 0xff}, bytes.Repeat([]byte("long "), 100)}

// writeStored writes a store with storedSnapshot and storedRecords and returns the content of its only file.
func writeStored(t *testing.T, folder string) []byte {
	t.Helper()
	dir, err := NewDisk(folder)
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Append([]byte("replaced by the snapshot")); err != nil {
		t.Fatal(err)
	}
	if err := s.Compact([]byte(storedSnapshot)); err != nil {
		t.Fatal(err)
	}
	for _, r := range storedRecords {
		if err := s.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(filepath.Join(folder, storedFile))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// goldenStore returns the golden file, which was written by an earlier release.
func goldenStore(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join("testdata", storedFile)
	stored, err := goldenfile.Content(path, func() ([]byte, error) { return writeStored(t, t.TempDir()), nil })
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// The file format must not change between releases: the same history is written as the same bytes.
func TestWrittenFileMatchesGoldenFile(t *testing.T) {
	stored, written := goldenStore(t), writeStored(t, t.TempDir())
	if !bytes.Equal(stored, written) {
		t.Errorf("written: got %x, want %x", written, stored)
	}
}

// A store of an earlier release is read correctly, also when its file is truncated or damaged.
func TestOpenReadsStoreOfEarlierRelease(t *testing.T) {
	stored := goldenStore(t)
	const continued = "log-0000000000000003"
	for _, c := range []struct {
		name    string
		file    []byte
		records [][]byte
		damaged bool
		files   []string
	}{
		{"complete", stored, storedRecords, false, []string{continued}},
		{
			"truncated in the last record",
			stored[:len(stored)-5],
			storedRecords[:3],
			false,
			[]string{continued},
		},
		{
			"damaged record before a valid one",
			flipped(stored, 9+4+8+len(storedSnapshot)+8),
			nil,
			true,
			[]string{"damaged-" + storedFile, continued},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			st, files := openStored(t, c.file)
			equalRecords := slices.EqualFunc(c.records, st.Records, bytes.Equal)
			if string(st.Snapshot) != storedSnapshot || !equalRecords {
				t.Errorf("got snapshot %q, records %q; want %q, %q", st.Snapshot, st.Records, storedSnapshot, c.records)
			}
			if (st.Damage != "") != c.damaged {
				t.Errorf("damage %q, want any: %v", st.Damage, c.damaged)
			}
			if diff := cmp.Diff(c.files, files); diff != "" {
				t.Errorf("files differ (-want +got):\n%s", diff)
			}
		})
	}
}

// openStored opens a store that consists of one file and returns its state and the names of the files afterwards.
func openStored(t *testing.T, file []byte) (State, []string) {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, storedFile), file, 0o600); err != nil {
		t.Fatal(err)
	}
	dir, err := NewDisk(folder)
	if err != nil {
		t.Fatal(err)
	}
	s, st, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := dir.List()
	if err != nil {
		t.Fatal(err)
	}
	return st, files
}

// flipped returns a copy of a file with all bits of the byte at index i inverted.
func flipped(file []byte, i int) []byte {
	out := bytes.Clone(file)
	out[i] ^= 0xff
	return out
}
