package server

import (
	"testing"
	"time"

	"wheatlane/internal/config"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// An engine whose host has failed, or that has permanently stopped responding, leaves its connection open and silent.
// Once a response is overdue, the module cancels the attempt and the connection is probed for liveness. The attempt is
// retried on a new connection. The old connection is closed if the probe gets no response, and else stays open.
func TestSilentEngineConnectionIsReplaced(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "silent": false} {
		t.Run(name, func(t *testing.T) { testSilentConnection(t, alive) })
	}
}

func testSilentConnection(t *testing.T, alive bool) {
	t.Helper()
	e := newFakeEngine(t)
	withProbes := func(c *config.Config) { c.Settings.Control.Limits.LoadProbes = true }
	s := startServerWith(t, serverOptions{configure: withProbes}, inService("e1", e))
	e.answeredCommand = commandLoadProbe
	client := s.connect(statement("load", 1, longTimeout, ""))
	attempt := e.expectAttempt(t)
	// Both follow from the same timeout and may arrive in either order.
	cancel, probe := socktest.Receive(t, e.messages, "the cancellation"), socktest.Receive(t, e.messages, "the probe")
	if cancel.command() == commandLiveness {
		cancel, probe = probe, cancel
	}
	if cancel.command() != commandCancel || cancel.requestID() != attempt.requestID() ||
		probe.command() != commandLiveness {
		t.Fatalf("engine received %q and %q, want a cancellation and a liveness probe", cancel.words, probe.words)
	}
	if alive {
		probe.reply(probe.requestID(), "UP", "-", "")
	} else {
		socktest.Receive(t, e.closed, "the end of the silent connection")
	}
	retry := e.expectAttempt(t)
	if retry.requestID() != attempt.requestID() || retry.conn == attempt.conn {
		t.Fatalf("engine received %q, want a retry of the cancelled attempt on a new connection", retry.words)
	}
	retry.replyRows(testRow)
	client.expect(testRows)
	if !alive {
		s.expectEnd(e.addr, netconn.Retired)
		return
	}
	next := s.connect(statement("load", 3, longTimeout, ""))
	e.expectAttempt(t).replyRows(testRow)
	next.expect(testRows)
}

// With load probes disabled, there are no liveness probes either. A suspect connection gets no new attempts and is
// closed after its last one.
func TestNoLivenessProbeWithoutLoadProbes(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	client := s.connect(statement("lookup", 1, enginepool.SilenceThreshold+800*time.Millisecond, ""))
	first := e.expectAttempt(t)
	client.expect("1226")
	e.expectCancel(t, first)
	socktest.Receive(t, e.closed, "the end of the silent connection")
	s.expectEnd(e.addr, netconn.Retired)
	if second := s.serveOn(e, 2); second.conn == first.conn { // no liveness probe preceded it
		t.Fatal("the second request used the silent connection")
	}
}
