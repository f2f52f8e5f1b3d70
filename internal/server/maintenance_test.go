package server

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/handover"
)

// startMaintenance puts an engine into maintenance mode.
func (s *testServer) startMaintenance(id string) {
	s.t.Helper()
	if err := s.server.StartMaintenance(s.t.Context(), id); err != nil {
		s.t.Fatal(err)
	}
}

// An engine in maintenance mode gets no requests; another engine serves them all. Calls for an engine that was never
// listed return ErrNotListed.
func TestEngineInMaintenanceGetsNoRequests(t *testing.T) {
	e, other := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, inService("e1", e), inService("e2", other))
	s.startMaintenance("e1")
	for name, change := range map[string]func(context.Context, string) error{
		"start": s.server.StartMaintenance, "end": s.server.EndMaintenance,
	} {
		if err := change(t.Context(), "e9"); !errors.Is(err, ErrNotListed) {
			t.Fatalf("%s maintenance of an unlisted engine returned %v, want ErrNotListed", name, err)
		}
	}
	for i := range 6 {
		s.serveOn(other, 10+i)
	}
	select {
	case m := <-e.messages:
		t.Fatalf("engine in maintenance mode received %q", m.words)
	default:
	}
	if err := s.server.EndMaintenance(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
}

// The next process restores maintenance modes from the previous process's hand-over file. A corrupt file is ignored by
// a new process and does not change the state of a running one.
func TestMaintenanceIsHandedOver(t *testing.T) {
	dir := t.TempDir()
	e, other := newFakeEngine(t), newFakeEngine(t)
	endpoints := []string{inService("e1", e), inService("e2", other)}
	startServerIn(t, dir, endpoints...).startMaintenance("e1")

	s := startServerIn(t, dir, endpoints...)
	if diff := cmp.Diff([]string{"e1"}, s.enginesInMaintenance()); diff != "" {
		t.Fatal(diff)
	}
	for i := range 6 {
		s.serveOn(other, 10+i)
	}
	if err := os.WriteFile(filepath.Join(dir, handover.FileName), []byte("7\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if engines := startServerIn(t, dir, endpoints...).enginesInMaintenance(); len(engines) > 0 {
		t.Fatalf("engines in maintenance mode after reading a corrupt file: got %v, want none", engines)
	}
	if diff := cmp.Diff([]string{"e1"}, s.enginesInMaintenance()); diff != "" {
		t.Fatalf("a corrupt file changed the running process (-want +got):\n%s", diff)
	}
}
