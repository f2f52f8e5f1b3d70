package server

import (
	"testing"
	"time"

	"wheatlane/internal/config"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// An engine whose machine vanished, or that stops answering for good, leaves its connection open and
// silent. Once an answer there is overdue, the module cancels the attempt, and the connection is probed.
// Without an answer it is closed, and the attempt is retried on a new connection. One that answers is kept.
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
	a := s.connect(statement("load", 1, longTimeout, ""))
	attempt := e.expectAttempt(t)
	// Both follow from the same timeout, and either may come first.
	cancel, probe := socktest.Receive(t, e.messages, "the cancellation"), socktest.Receive(t, e.messages, "the probe")
	if cancel.command() == commandLiveness {
		cancel, probe = probe, cancel
	}
	if cancel.command() != commandCancel || cancel.requestID() != attempt.requestID() ||
		probe.command() != commandLiveness {
		t.Fatalf("engine got %q and %q", cancel.words, probe.words)
	}
	if alive {
		probe.reply(probe.requestID(), "UP", "-", "")
	} else {
		socktest.Receive(t, e.closed, "the end of the silent connection")
	}
	retry := e.expectAttempt(t)
	if retry.requestID() != attempt.requestID() || retry.conn == attempt.conn {
		t.Fatal("the cancelled attempt was not retried on a new connection")
	}
	retry.replyRows(testRow)
	a.expect(testRows)
	if !alive {
		s.expectEnd(e.addr, netconn.Retired)
		return
	}
	b := s.connect(statement("load", 3, longTimeout, ""))
	e.expectAttempt(t).replyRows(testRow)
	b.expect(testRows)
}

// Where the settings forbid load probes, no engine is probed for liveness either: a suspect connection
// takes nothing new and ends with its last attempt.
func TestNoLivenessProbeWithoutLoadProbes(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("lookup", 1, enginepool.SilenceThreshold+800*time.Millisecond, ""))
	first := e.expectAttempt(t)
	a.expect("1226")
	e.expectCancel(t, first)
	socktest.Receive(t, e.closed, "the end of the silent connection")
	s.expectEnd(e.addr, netconn.Retired)
	if second := s.serveOn(e, 2); second.conn == first.conn { // and no liveness probe came before
		t.Fatal("the silent connection was used again")
	}
}
