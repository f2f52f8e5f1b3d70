// Package handover carries what a broker must not forget from one process to the next of an upgrade: the engines
// left out by hand. The old process writes it to $TMPDIR whole under another name and renames it, so a reader
// finds the file before or the file after; the new one reads it at its start, defensively, and starts without it
// when it is torn, of another broker or of another form.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

// FileName is the name of the file in its folder.
const FileName = "wheatlane-handover"

// version is that of the form; a reader takes no other.
const version = 1

// mostBytes bounds what is read: a file that is longer is not one of ours.
const mostBytes = 1 << 20

// State is what is handed over.
type State struct {
	Broker             string   // the broker's name; a file of another is not taken
	MaintenanceEngines []string // engines left out by hand, sorted
}

// The errors of a file that is not taken.
var (
	ErrNotFound = errors.New("handover: no file")
	ErrCorrupt  = errors.New("handover: torn or spoilt")
	ErrStale    = errors.New("handover: of another broker or form")
)

type form struct {
	Version int      `json:"version"`
	Broker  string   `json:"broker"`
	Bans    []string `json:"bans"`
}

// Encode words a state: a line with the checksum of what follows, then the JSON.
func Encode(s State) []byte {
	body, _ := json.Marshal(form{Version: version, Broker: s.Broker, Bans: s.MaintenanceEngines}) // of strings: it can't fail
	out := strconv.AppendUint(nil, uint64(crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))), 16)
	return append(append(out, '\n'), body...)
}

// Decode reads what Encode wrote for a broker of a name.
func Decode(text []byte, broker string) (State, error) {
	head, body, ok := strings.Cut(string(text), "\n")
	sum, err := strconv.ParseUint(head, 16, 32)
	if !ok || err != nil || uint32(sum) != crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli)) {
		return State{}, ErrCorrupt
	}
	var f form
	if err := json.Unmarshal([]byte(body), &f); err != nil {
		return State{}, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if f.Version != version || f.Broker != broker {
		return State{}, fmt.Errorf("%w: version %d of %q", ErrStale, f.Version, f.Broker)
	}
	bans := slices.Sorted(slices.Values(f.Bans))
	return State{Broker: f.Broker, MaintenanceEngines: slices.Compact(bans)}, nil
}

// Write puts a state in a folder, whole or not at all.
func Write(dir string, s State) error {
	tmp, err := os.CreateTemp(dir, FileName+".*")
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer os.Remove(tmp.Name()) // once renamed, there is nothing under this name
	if _, err := tmp.Write(Encode(s)); err != nil {
		tmp.Close()
		return fmt.Errorf("handover: %w", err)
	}
	if err := tmp.Close(); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(tmp.Name(), filepath.Join(dir, FileName)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Read reads the state in a folder for a broker of a name: ErrNone without a file.
func Read(dir, broker string) (State, error) {
	// Guards against a start that never ends: a named pipe under this name would be waited for.
	f, err := os.OpenFile(filepath.Join(dir, FileName), os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNotFound
	}
	if err != nil {
		return State{}, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() {
		return State{}, fmt.Errorf("%w: not a file", ErrCorrupt)
	}
	text := make([]byte, mostBytes+1)
	n, err := f.ReadAt(text, 0)
	if n > mostBytes {
		return State{}, fmt.Errorf("%w: over %d bytes", ErrCorrupt, mostBytes)
	}
	if err != nil && n == 0 {
		return State{}, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return Decode(text[:n], broker)
}
