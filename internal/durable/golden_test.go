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

// writeStored writes a store with a snapshot and records and returns its one file.
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
	if err := s.Append([]byte("gone with the snapshot")); err != nil {
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
	text, err := os.ReadFile(filepath.Join(folder, storedFile))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// goldenStore returns the golden file, which an earlier release wrote.
func goldenStore(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join("testdata", storedFile)
	stored, err := goldenfile.Content(path, func() ([]byte, error) { return writeStored(t, t.TempDir()), nil })
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// The same history is written in the same bytes as in an earlier release.
func TestStoredBytes(t *testing.T) {
	stored, written := goldenStore(t), writeStored(t, t.TempDir())
	if !bytes.Equal(stored, written) {
		t.Errorf("written: %x, want %x", written, stored)
	}
}

// A store that an earlier release wrote is read, also when it is truncated or damaged.
func TestStoredFile(t *testing.T) {
	stored := goldenStore(t)
	const continued = "log-0000000000000003"
	for _, c := range []struct {
		name    string
		file    []byte
		records [][]byte
		lost    bool
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
			"damaged ahead of a valid record",
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
				t.Errorf("read: %q, %q", st.Snapshot, st.Records)
			}
			if (st.Damage != "") != c.lost {
				t.Errorf("lost: %q", st.Damage)
			}
			if diff := cmp.Diff(c.files, files); diff != "" {
				t.Errorf("files: %s", diff)
			}
		})
	}
}

// openStored opens a store with one file and returns its state and the files afterwards.
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

// flipped returns a copy of a file with one byte changed.
func flipped(text []byte, i int) []byte {
	out := bytes.Clone(text)
	out[i] ^= 0xff
	return out
}
