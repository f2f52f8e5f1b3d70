package server

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/handover"
)

// setMaintenance changes the maintenance mode of an engine and expects whether it was ever listed.
func (s *testServer) setMaintenance(id string, enabled, wantListed bool) {
	s.t.Helper()
	if listed, done := s.server.SetMaintenance(s.t.Context(), id, enabled); listed != wantListed || !done {
		s.t.Fatalf("%s: listed %v, done %v", id, listed, done)
	}
}

// An engine in maintenance mode gets nothing new, the other takes all, and an id that was never listed is
// reported.
func TestMaintenanceOnSockets(t *testing.T) {
	e, other := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, listed("e1", e), listed("e2", other))
	s.setMaintenance("e1", true, true)
	s.setMaintenance("e9", true, false)
	for i := range 6 {
		s.serveOn(other, 10+i)
	}
	select {
	case m := <-e.messages:
		t.Fatalf("the engine in maintenance mode got %q", m.words)
	default:
	}
	s.setMaintenance("e1", false, true)
}

// The maintenance mode of engines holds in the next process that starts where the one before wrote it, and
// a corrupt file is passed over.
func TestMaintenanceIsHandedOver(t *testing.T) {
	dir := t.TempDir()
	e, other := newFakeEngine(t), newFakeEngine(t)
	endpoints := []string{listed("e1", e), listed("e2", other)}
	previous := startServer(t, endpoints...)
	previous.server.cfg.HandoverPath = dir
	previous.setMaintenance("e1", true, true)

	s := startServer(t, endpoints...)
	s.server.cfg.HandoverPath = dir
	engines := s.server.readHandover()
	if diff := cmp.Diff([]string{"e1"}, engines); diff != "" {
		t.Fatal(diff)
	}
	s.server.post(t.Context(), func() { s.server.apply(broker.RestoreMaintenance{Engines: engines}) })
	for i := range 6 {
		s.serveOn(other, 10+i)
	}
	if err := os.WriteFile(filepath.Join(dir, handover.FileName), []byte("7\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if engines := s.server.readHandover(); engines != nil {
		t.Fatalf("read from a corrupt file: %v", engines)
	}
}
