package server

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/handover"
	"wheatlane/internal/socktest"
)

// startServerIn starts a broker with a hand-over directory.
func startServerIn(t *testing.T, dir string, endpoints ...string) *testServer {
	t.Helper()
	return startServerWith(t, serverOptions{
		configure: func(cfg *config.Config) { cfg.HandoverPath = dir },
	}, endpoints...)
}

// enginesInMaintenance returns the engines that the reducer has in maintenance mode.
func (s *testServer) enginesInMaintenance() []string {
	s.t.Helper()
	return inLoop(s, func(server *Server) []string { return server.loop.reducer.EnginesInMaintenance() })
}

// Maintenance mode takes effect even if it can't be stored, but the call is not acknowledged. The change is stored
// automatically once the directory exists.
func TestMaintenanceIsStoredOnceDirectoryExists(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	s := startServerIn(t, dir, endpointJSON("e1", "127.0.0.1:9", "in_service", 0))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := s.server.StartMaintenance(ctx, "e1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("StartMaintenance without a directory returned %v, want context.DeadlineExceeded", err)
	}
	if diff := cmp.Diff([]string{"e1"}, s.enginesInMaintenance()); diff != "" {
		t.Error(diff)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	socktest.WaitUntil(t, "the state is stored", func() bool {
		state, err := handover.Read(dir, "")
		return err == nil && cmp.Equal(state.MaintenanceEngines, []string{"e1"})
	})
}

// During an upgrade two processes of one broker run, and each adopts the maintenance changes that the other receives.
func TestTwoProcessesShareMaintenance(t *testing.T) {
	dir := t.TempDir()
	endpoints := []string{
		endpointJSON("e1", "127.0.0.1:9", "in_service", 0), endpointJSON("e2", "127.0.0.1:19", "in_service", 0),
	}
	previous, next := startServerIn(t, dir, endpoints...), startServerIn(t, dir, endpoints...)
	previous.startMaintenance("e1")
	next.startMaintenance("e2")
	for name, s := range map[string]*testServer{"previous": previous, "next": next} {
		socktest.WaitUntil(t, name+" has both engines in maintenance mode", func() bool {
			return cmp.Equal(s.enginesInMaintenance(), []string{"e1", "e2"})
		})
	}
	if err := previous.server.EndMaintenance(t.Context(), "e2"); err != nil {
		t.Fatal(err)
	}
	socktest.WaitUntil(t, "the next process has e2 out of maintenance mode", func() bool {
		return cmp.Equal(next.enginesInMaintenance(), []string{"e1"})
	})
}

// A hand-over file that can't be read at the start is restored as soon as it can be read.
func TestMaintenanceIsRestoredOnceFileIsReadable(t *testing.T) {
	dir := t.TempDir()
	hidden := filepath.Join(dir, "hidden")
	if err := handover.Write(dir, handover.State{MaintenanceEngines: []string{"e1"}}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, handover.FileName)
	if err := os.Rename(path, hidden); err != nil {
		t.Fatal(err)
	}
	s := startServerIn(t, dir, endpointJSON("e1", "127.0.0.1:9", "in_service", 0))
	if err := os.Rename(hidden, path); err != nil {
		t.Fatal(err)
	}
	socktest.WaitUntil(t, "the state is restored", func() bool {
		return cmp.Equal(s.enginesInMaintenance(), []string{"e1"})
	})
	inLoop(s, func(server *Server) bool { server.loop.apply(broker.EndMaintenance{Engine: "e1"}); return true })
}
