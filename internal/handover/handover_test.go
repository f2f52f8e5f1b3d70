package handover

import (
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const broker = "n3"

func TestReadReturnsWrittenState(t *testing.T) {
	dir := t.TempDir()
	if _, err := Read(dir, broker); !errors.Is(err, ErrNotFound) {
		t.Fatalf("got error %v, want %v", err, ErrNotFound)
	}
	want := State{Broker: broker, MaintenanceEngines: []string{"e1", "e7"}}
	for range 2 { // the second write replaces the first
		if err := Write(dir, want); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read(dir, broker)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if _, err := Read(dir, "n4"); !errors.Is(err, ErrMismatch) {
		t.Fatalf("file of another broker: got %v, want %v", err, ErrMismatch)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 {
		t.Fatalf("directory holds %v, want one file", entries)
	}
}

func TestUnusableFilesAreRejected(t *testing.T) {
	valid := Encode(State{Broker: broker, MaintenanceEngines: []string{"e1"}})
	for name, c := range map[string]struct {
		content []byte
		want    error
	}{
		"empty":          {nil, ErrCorrupt},
		"truncated":      {valid[:len(valid)-3], ErrCorrupt},
		"no checksum":    {valid[9:], ErrCorrupt},
		"corrupt":        {append(append([]byte{}, valid[:len(valid)-2]...), 'X', '}'), ErrCorrupt},
		"other version":  {withChecksum(`{"version":2,"broker":"n3","bans":[]}`), ErrMismatch},
		"wrong checksum": {[]byte("0\nnull"), ErrCorrupt},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), FileName)
			if err := os.WriteFile(path, c.content, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Read(filepath.Dir(path), broker); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}

// TestDecodeRejectsCorruptContent guards against a truncated or corrupt file being accepted or causing a panic:
// Decode returns ErrCorrupt or ErrMismatch. Encoded states decode without loss.
func TestDecodeRejectsCorruptContent(t *testing.T) {
	identity := func(s string) string { return s }
	engineIDs := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), identity)
	rapid.Check(t, func(t *rapid.T) {
		engines := engineIDs.Draw(t, "engines")
		content := Encode(State{Broker: broker, MaintenanceEngines: engines})
		got, err := Decode(content, broker)
		if err != nil || len(got.MaintenanceEngines) != len(engines) {
			t.Fatalf("%q: got %v, error %v, want %d engines", content, got, err, len(engines))
		}
		prefixLen := rapid.IntRange(0, len(content)).Draw(t, "prefixLen")
		flip := rapid.IntRange(0, max(0, prefixLen-1)).Draw(t, "flip")
		corrupt := append([]byte{}, content[:prefixLen]...)
		if prefixLen > 0 {
			corrupt[flip] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		if _, err := Decode(corrupt, broker); err == nil {
			t.Fatalf("corrupt content %q is accepted", corrupt)
		} else if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrMismatch) {
			t.Fatalf("%q: got error %v, want %v or %v", corrupt, err, ErrCorrupt, ErrMismatch)
		}
	})
}

// withChecksum returns the content of a file with the given body, in the format of Encode.
func withChecksum(body string) []byte {
	sum := crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli))
	return []byte(strconv.FormatUint(uint64(sum), 16) + "\n" + body)
}

// TestReadRejectsNonRegularFile guards against a broker that does not start because the hand-over file is not a
// regular file: opening a named pipe would wait for a writer.
func TestReadRejectsNonRegularFile(t *testing.T) {
	const timeout = 20 * time.Second
	for name, create := range map[string]func(path string) error{
		"named pipe": func(path string) error { return syscall.Mkfifo(path, 0o600) },
		"directory":  func(path string) error { return os.Mkdir(path, 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), FileName)
			if err := create(path); err != nil {
				t.Fatal(err)
			}
			result := make(chan error, 1)
			go func() {
				_, err := Read(filepath.Dir(path), broker)
				result <- err
			}()
			select {
			case err := <-result:
				if !errors.Is(err, ErrCorrupt) {
					t.Errorf("got error %v, want %v", err, ErrCorrupt)
				}
			case <-time.After(timeout):
				t.Errorf("Read did not return within %v", timeout)
			}
		})
	}
}

// TestRemoveStaleTempFiles guards against temporary files that accumulate after processes are killed during a write.
// A recent temporary file stays, as its write may be in progress.
func TestRemoveStaleTempFiles(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, State{Broker: broker}); err != nil {
		t.Fatal(err)
	}
	for name, age := range map[string]time.Duration{"old": 2 * staleTempFileAge, "new": 0} {
		path := filepath.Join(dir, FileName+"."+name)
		if err := os.WriteFile(path, []byte("partial"), 0o600); err != nil {
			t.Fatal(err)
		}
		at := time.Now().Add(-age)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	RemoveStaleTempFiles(dir)
	remaining, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{filepath.Join(dir, FileName), filepath.Join(dir, FileName+".new")}
	if diff := cmp.Diff(want, remaining); diff != "" {
		t.Error(diff)
	}
}
