package server

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/handover"
)

// An engine left out by hand gets nothing new on its socket, the other takes all, and an id never listed is told.
func TestMaintenanceOnSockets(t *testing.T) {
	e, o := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0), endpointJSON("e2", o.addr, "in_service", 0))
	ctx := context.Background()
	if listed, done := s.server.SetMaintenance(ctx, "e1", true); !listed || !done {
		t.Fatalf("listed %v, done %v", listed, done)
	}
	if listed, done := s.server.SetMaintenance(ctx, "e9", true); listed || !done {
		t.Fatalf("e9: listed %v, done %v", listed, done)
	}
	for i := range 6 {
		c := s.connect(statement("lookup", 10+i, longTimeout, ""))
		m := o.expect(t, "want")
		m.reply(m.requestID(), "OK", "-", "")
		c.expect("rows ")
	}
	select {
	case w := <-e.messages:
		t.Fatalf("the engine left out got %q", w.words)
	default:
	}
	if listed, done := s.server.SetMaintenance(ctx, "e1", false); !listed || !done {
		t.Fatalf("listed %v, done %v", listed, done)
	}
}

// The bans of one process hold in the next that starts where it wrote them, and a spoilt file is passed over.
func TestMaintenanceIsHandedOver(t *testing.T) {
	dir := t.TempDir()
	e, o := newFakeEngine(t), newFakeEngine(t)
	hosts := []string{endpointJSON("e1", e.addr, "in_service", 0), endpointJSON("e2", o.addr, "in_service", 0)}
	old := startServer(t, hosts...)
	old.server.cfg.HandoverPath = dir
	if _, done := old.server.SetMaintenance(context.Background(), "e1", true); !done {
		t.Fatal("not done")
	}
	s := startServer(t, hosts...)
	s.server.cfg.HandoverPath = dir
	bans := s.server.readHandover()
	if !cmp.Equal(bans, []string{"e1"}) {
		t.Fatalf("taken over: %v", bans)
	}
	s.server.post(context.Background(), func() { s.server.apply(broker.RestoreMaintenance{Engines: bans}) })
	for i := range 6 {
		c := s.connect(statement("lookup", 10+i, longTimeout, ""))
		m := o.expect(t, "want")
		m.reply(m.requestID(), "OK", "-", "")
		c.expect("rows ")
	}
	if err := os.WriteFile(filepath.Join(dir, handover.FileName), []byte("7\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if bans := s.server.readHandover(); bans != nil {
		t.Fatalf("taken from a spoilt file: %v", bans)
	}
}
