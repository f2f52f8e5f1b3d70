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
	testTimeout = time.Minute // a test that waits so long has failed
)

// adopter receives what another process has changed.
type adopter chan []handover.Change

func (a adopter) AdoptMaintenance(_ context.Context, changes []handover.Change) { a <- changes }

// process is a running store.
type process struct {
	*handoverstore.Store
	adopted adopter
	stop    func() error // ends it and returns its error
}

// start runs the store of a process until the test ends.
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
	t.Cleanup(func() { _ = p.stop() }) // the test may have stopped it
	return p
}

// Two processes pass their changes to one another, and none back to the one that made it.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	previous, next := start(t, dir), start(t, dir)
	entered := handover.Change{Engine: "e1", Enabled: true}
	wait(t, previous.Record(entered), "the first change is stored")
	if diff := cmp.Diff([]handover.Change{entered}, wait(t, next.adopted, "the first change")); diff != "" {
		t.Error(diff)
	}
	left := handover.Change{Engine: "e1"}
	wait(t, next.Record(left), "the second change is stored")
	if diff := cmp.Diff([]handover.Change{left}, wait(t, previous.adopted, "the second change")); diff != "" {
		t.Error(diff)
	}
	if len(next.adopted) > 0 {
		t.Errorf("a process adopts its own change: %v", <-next.adopted)
	}
}

// Changes that can't be written are not reported as stored, and are written once that is possible, at the latest as
// the store ends.
func TestPendingChanges(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	p := start(t, dir)
	stored := p.Record(handover.Change{Engine: "e1", Enabled: true})
	select {
	case <-stored:
		t.Fatal("reported as stored in a folder that does not exist")
	default:
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := p.stop(); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	wait(t, stored, "the change is stored")
	restored := handoverstore.New(handoverstore.Config{Dir: dir, Broker: brokerName, Log: zap.NewNop()})
	if diff := cmp.Diff([]string{"e1"}, restored.Restore(t.Context())); diff != "" {
		t.Error(diff)
	}
}

// Without a file, with the file of another broker and with a corrupt one there is nothing to restore.
func TestRestoreWithoutUsableFile(t *testing.T) {
	for name, prepare := range map[string]func(dir string) error{
		"no file": func(string) error { return nil },
		"of another broker": func(dir string) error {
			return handover.Write(dir, handover.State{Broker: "b2", MaintenanceEngines: []string{"e1"}})
		},
		"corrupt": func(dir string) error {
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
				t.Errorf("restored %v", engines)
			}
		})
	}
}

// wait takes from a channel, or fails.
func wait[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("never so: %s", what)
		panic("unreachable")
	}
}
