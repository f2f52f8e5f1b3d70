package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/broker"
)

// Each command to an engine, byte for byte, with each field that it can have.
func TestTranscriptOfEngineCommands(t *testing.T) {
	n, l, far := newIdleServer(t)
	n.ctx, n.inbox = t.Context(), make(chan func(), 10)
	n.cfg.Settings.Control.Limits.LoadProbes = true
	attempt := func(request uint64) broker.AttemptID { return broker.AttemptID{Request: request} }
	want := broker.StartAttempt{
		Attempt: attempt(1), Engine: "e1", Addr: "a", RequestID: "00000000000000a1", Class: "lookup",
		IdempotencyKey: "op-1", Timeout: 1500*time.Millisecond + 999*time.Microsecond, GrantMB: 12.25, Priority: 3,
		Body: "SELECT 'ä\r\n'",
	}
	n.pool.startAttempt(want)
	n.pool.startAttempt(broker.StartAttempt{
		Attempt: attempt(2), Engine: "e1", Addr: "a", RequestID: "00000000000000a2", Class: "load",
		Timeout: time.Microsecond, Priority: 1, Body: "",
	})
	n.pool.startAttempt(broker.StartAttempt{
		Attempt: attempt(3), Engine: "e1", Addr: "a", RequestID: "00000000000000a3", Class: "once",
		Timeout: time.Hour, GrantMB: 1e7, Priority: -1, Body: "x",
	})
	n.pool.startProbe(broker.ProbeLoad{ProbeID: 18446744073709551615, Engine: "e1", Addr: "a"})
	n.pool.fetchPage(broker.FetchPage{Attempt: attempt(2), Page: 1})
	n.pool.fetchPage(broker.FetchPage{Attempt: attempt(2), Page: 12345})
	n.pool.setPriority(broker.SetPriority{Attempt: attempt(3), Priority: 0})
	n.pool.setPriority(broker.SetPriority{Attempt: attempt(3), Priority: 7})
	drained := make(chan error, 1)
	go func() { drained <- l.writeLoop(n.ctx) }()
	waitUntil(t, "all has left, so that nothing can be withdrawn", l.allSent)
	n.pool.cancelAttempt(attempt(1))
	n.pool.setPriority(broker.SetPriority{Attempt: attempt(1), Priority: 9}) // cancelled: nothing is sent
	n.pool.releaseAttempt(broker.ReleaseAttempt{Attempt: attempt(2), PagesLeft: true})
	n.pool.releaseAttempt(broker.ReleaseAttempt{Attempt: attempt(3)})
	n.pool.suspect(n.pool.connsByEngine["e1"][0], time.Now())
	l.closeAfterSent(&endError{Reason: Shutdown})
	all, err := io.ReadAll(far)
	if err != nil {
		t.Fatal(err)
	}
	if err := far.Close(); err != nil {
		t.Error(err)
	}
	if got := reasonOf(receive(t, drained, "the end of the connection")); got != Shutdown {
		t.Errorf("it ended as %s", got)
	}
	sent := strings.ReplaceAll(fmt.Sprintf("%q", all), `\r\n*`, "\\r\\n\n*") + "\n" // a command a line
	CompareGolden(t, "commands", sent)
}
