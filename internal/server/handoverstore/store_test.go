package handoverstore_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"wheatlane/internal/handover"
	"wheatlane/internal/server/handoverstore"
)

const (
	brokerName  = "b1"
	testTimeout = time.Minute // a test that waits longer fails
)

// adopter receives the changes of another process.
type adopter chan []handover.Change

func (a adopter) AdoptMaintenance(_ context.Context, changes []handover.Change) { a <- changes }

// process is a running store.
type process struct {
	*handoverstore.Store
	adopted adopter
	stop    func() error // stops Run and returns its error
}

// start runs a store, as a process of the broker does, until the test ends.
func start(t *testing.T, dir string) process {
	t.Helper()
	store := handoverstore.New(handoverstore.Config{Dir: dir, Broker: brokerName, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	p := process{Store: store, adopted: make(adopter, 10)}
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx, p.adopted) }()
	p.stop = func() error {
		cancel()
		err := <-ended
		ended <- err
		return err
	}
	t.Cleanup(func() { _ = p.stop() }) // may already have been called by the test
	return p
}

// Two processes adopt each other's changes, and neither adopts its own changes.
func TestTwoProcessesAdoptEachOthersChanges(t *testing.T) {
	dir := t.TempDir()
	previous, next := start(t, dir), start(t, dir)
	enabled := handover.Change{Engine: "e1", Enabled: true}
	wait(t, previous.Record(enabled), "storing the first change")
	if diff := cmp.Diff([]handover.Change{enabled}, wait(t, next.adopted, "adopting the first change")); diff != "" {
		t.Error(diff)
	}
	disabled := handover.Change{Engine: "e1"}
	wait(t, next.Record(disabled), "storing the second change")
	if diff := cmp.Diff([]handover.Change{disabled}, wait(t, previous.adopted, "adopting the second change")); diff != "" {
		t.Error(diff)
	}
	if len(next.adopted) > 0 {
		t.Errorf("a process adopted its own change: %v", <-next.adopted)
	}
}

// Changes that can't be written are not reported as stored. They are written once that is possible, at the latest when
// Run ends.
func TestPendingChangesAreWrittenAtEnd(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	p := start(t, dir)
	stored := p.Record(handover.Change{Engine: "e1", Enabled: true})
	select {
	case <-stored:
		t.Fatal("the change is reported as stored in a directory that does not exist")
	default:
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := p.stop(); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v, want context.Canceled", err)
	}
	wait(t, stored, "storing the change")
	restored := handoverstore.New(handoverstore.Config{Dir: dir, Broker: brokerName, Log: zap.NewNop()})
	if diff := cmp.Diff([]string{"e1"}, restored.Restore(t.Context())); diff != "" {
		t.Error(diff)
	}
}

// Restore returns no engines if the file does not exist, belongs to a different broker or is corrupt.
func TestRestoreWithoutUsableFile(t *testing.T) {
	for name, prepare := range map[string]func(dir string) error{
		"no file": func(string) error { return nil },
		"file of a different broker": func(dir string) error {
			return handover.Write(dir, handover.State{Broker: "b2", MaintenanceEngines: []string{"e1"}})
		},
		"corrupt file": func(dir string) error {
			return os.WriteFile(filepath.Join(dir, handover.FileName), []byte("7\n{"), 0o600)
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := prepare(dir); err != nil {
				t.Fatal(err)
			}
			store := handoverstore.New(handoverstore.Config{Dir: dir, Broker: brokerName, Log: zap.NewNop()})
			if engines := store.Restore(t.Context()); len(engines) > 0 {
				t.Errorf("restored %v, want none", engines)
			}
		})
	}
}

// wait receives from a channel, or fails the test after testTimeout.
func wait[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out: %s", what)
		panic("unreachable")
	}
}
