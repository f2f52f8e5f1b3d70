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

func TestWriteRead(t *testing.T) {
	dir := t.TempDir()
	if _, err := Read(dir, "n3"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("got %v", err)
	}
	want := State{Broker: "n3", MaintenanceEngines: []string{"e1", "e7"}}
	for range 2 { // the second write takes the place of the first
		if err := Write(dir, want); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read(dir, "n3")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if _, err := Read(dir, "n4"); !errors.Is(err, ErrStale) {
		t.Fatalf("of another broker: %v", err)
	}
	entries, _ := os.ReadDir(dir)
	if len(entries) != 1 {
		t.Fatalf("left behind: %v", entries)
	}
}

func TestBadFiles(t *testing.T) {
	good := Encode(State{Broker: "n3", MaintenanceEngines: []string{"e1"}})
	for name, c := range map[string]struct {
		text []byte
		err  error
	}{
		"empty":        {nil, ErrCorrupt},
		"cut":          {good[:len(good)-3], ErrCorrupt},
		"no checksum":  {good[9:], ErrCorrupt},
		"spoilt":       {append(append([]byte{}, good[:len(good)-2]...), 'X', '}'), ErrCorrupt},
		"other form":   {signed(`{"version":2,"broker":"n3","bans":[]}`), ErrStale},
		"json of junk": {[]byte("0\nnull"), ErrCorrupt},
	} {
		path := filepath.Join(t.TempDir(), FileName)
		if err := os.WriteFile(path, c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(filepath.Dir(path), "n3"); !errors.Is(err, c.err) {
			t.Errorf("%s: got %v, want %v", name, err, c.err)
		}
	}
}

// Whatever a file holds, Decode returns a state or a named error, and never panics; a state comes back as it went.
func TestDecodeAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bans := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), func(s string) string { return s }).Draw(t, "bans")
		text := Encode(State{Broker: "n3", MaintenanceEngines: bans})
		got, err := Decode(text, "n3")
		if err != nil || len(got.MaintenanceEngines) != len(bans) {
			t.Fatalf("%q: %v, %v", text, got, err)
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		flip := rapid.IntRange(0, max(0, cut-1)).Draw(t, "flip")
		spoilt := append([]byte{}, text[:cut]...)
		if cut > 0 {
			spoilt[flip] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		if _, err := Decode(spoilt, "n3"); err == nil {
			t.Fatalf("%q taken", spoilt)
		} else if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrStale) {
			t.Fatalf("%q: %v", spoilt, err)
		}
	})
}

// signed words a body with its checksum as Encode does.
func signed(body string) []byte {
	sum := crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli))
	return []byte(strconv.FormatUint(uint64(sum), 16) + "\n" + body)
}

// What is under the name and is no file keeps no broker from starting.
func TestWhatIsNoFile(t *testing.T) {
	for name, put := range map[string]func(path string) error{
		"a named pipe": func(path string) error { return syscall.Mkfifo(path, 0o600) },
		"a folder":     func(path string) error { return os.Mkdir(path, 0o700) },
	} {
		path := filepath.Join(t.TempDir(), FileName)
		if err := put(path); err != nil {
			t.Fatal(err)
		}
		got := make(chan error, 1)
		go func() {
			_, err := Read(filepath.Dir(path), "n3")
			got <- err
		}()
		select {
		case err := <-got:
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("%s: got %v", name, err)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s is waited for", name)
		}
	}
}
