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
func TestSetDownOnSockets(t *testing.T) {
	e, o := newEngine(t), newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0), host("e2", o.addr, "in_service", 0))
	ctx := context.Background()
	if listed, done := s.node.SetMaintenance(ctx, "e1", true); !listed || !done {
		t.Fatalf("listed %v, done %v", listed, done)
	}
	if listed, done := s.node.SetMaintenance(ctx, "e9", true); listed || !done {
		t.Fatalf("e9: listed %v, done %v", listed, done)
	}
	for i := range 6 {
		c := s.dial(query("lookup", 10+i, long, ""))
		m := o.next(t, "want")
		m.reply(m.id(), "OK", "-", "")
		c.want("rows ")
	}
	select {
	case w := <-e.got:
		t.Fatalf("the engine left out got %q", w.parts)
	default:
	}
	if listed, done := s.node.SetMaintenance(ctx, "e1", false); !listed || !done {
		t.Fatalf("listed %v, done %v", listed, done)
	}
}

// The bans of one process hold in the next that starts where it wrote them, and a spoilt file is passed over.
func TestBansAreHandedOver(t *testing.T) {
	dir := t.TempDir()
	e, o := newEngine(t), newEngine(t)
	hosts := []string{host("e1", e.addr, "in_service", 0), host("e2", o.addr, "in_service", 0)}
	old := serve(t, hosts...)
	old.node.cfg.HandoverPath = dir
	if _, done := old.node.SetMaintenance(context.Background(), "e1", true); !done {
		t.Fatal("not done")
	}
	s := serve(t, hosts...)
	s.node.cfg.HandoverPath = dir
	bans := s.node.readHandover()
	if !cmp.Equal(bans, []string{"e1"}) {
		t.Fatalf("taken over: %v", bans)
	}
	s.node.post(context.Background(), func() { s.node.apply(broker.RestoreMaintenance{Engines: bans}) })
	for i := range 6 {
		c := s.dial(query("lookup", 10+i, long, ""))
		m := o.next(t, "want")
		m.reply(m.id(), "OK", "-", "")
		c.want("rows ")
	}
	if err := os.WriteFile(filepath.Join(dir, handover.FileName), []byte("7\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if bans := s.node.readHandover(); bans != nil {
		t.Fatalf("taken from a spoilt file: %v", bans)
	}
}
