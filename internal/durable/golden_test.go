package durable

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

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

// A store that an earlier release wrote is read, and the same history is written in the same bytes.
func TestStoredFile(t *testing.T) {
	golden := filepath.Join("testdata", storedFile)
	written := writeStored(t, t.TempDir())
	if *update {
		if err := os.WriteFile(golden, written, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(stored, written) {
		t.Errorf("written: %x, want %x", written, stored)
	}
	for _, c := range []struct {
		name    string
		text    []byte
		records [][]byte
		lost    bool
	}{
		{"complete", stored, storedRecords, false},
		{"cut off in the last record", stored[:len(stored)-5], storedRecords[:3], false},
		{"damaged ahead of a good record", flipped(stored, 9+4+8+len(storedSnapshot)+8), nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, storedFile), c.text, 0o600); err != nil {
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
			defer s.Close()
			if string(st.Snapshot) != storedSnapshot || !cmp.Equal(c.records, st.Records, cmp.Transformer("text",
				func(r [][]byte) (all []string) {
					for _, b := range r {
						all = append(all, string(b))
					}
					return all
				})) {
				t.Errorf("read: %q, %q", st.Snapshot, st.Records)
			}
			if (st.Lost != "") != c.lost {
				t.Errorf("lost: %q", st.Lost)
			}
			files, err := dir.List()
			if err != nil {
				t.Fatal(err)
			}
			want := []string{"log-0000000000000003"}
			if c.lost {
				want = []string{"damaged-" + storedFile, "log-0000000000000003"}
			}
			if diff := cmp.Diff(want, files); diff != "" {
				t.Errorf("files: %s", diff)
			}
		})
	}
}

// flipped is a copy of a file with one byte changed.
func flipped(text []byte, i int) []byte {
	out := bytes.Clone(text)
	out[i] ^= 0xff
	return out
}
