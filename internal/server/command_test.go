package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// Each command to an engine, byte for byte, with each field that it can have.
func TestTranscriptOfEngineCommands(t *testing.T) {
	s, transport, far := newIdleServer(t)
	s.ctx, s.inbox = t.Context(), make(chan func(), 10)
	s.cfg.Settings.Control.Limits.LoadProbes = true
	attempt := func(request uint64) broker.AttemptID { return broker.AttemptID{Request: request} }
	want := broker.StartAttempt{
		Attempt: attempt(1), Engine: "e1", Addr: "a", RequestID: "00000000000000a1", Class: "lookup",
		IdempotencyKey: "op-1", Timeout: 1500*time.Millisecond + 999*time.Microsecond, GrantMB: 12.25, Priority: 3,
		Body: "SELECT 'ä\r\n'",
	}
	s.pool.startAttempt(want)
	s.pool.startAttempt(broker.StartAttempt{
		Attempt: attempt(2), Engine: "e1", Addr: "a", RequestID: "00000000000000a2", Class: "load",
		Timeout: time.Microsecond, Priority: 1, Body: "",
	})
	s.pool.startAttempt(broker.StartAttempt{
		Attempt: attempt(3), Engine: "e1", Addr: "a", RequestID: "00000000000000a3", Class: "once",
		Timeout: time.Hour, GrantMB: 1e7, Priority: -1, Body: "x",
	})
	s.pool.startProbe(broker.ProbeLoad{ProbeID: 18446744073709551615, Engine: "e1", Addr: "a"})
	s.pool.fetchPage(broker.FetchPage{Attempt: attempt(2), Page: 1})
	s.pool.fetchPage(broker.FetchPage{Attempt: attempt(2), Page: 12345})
	s.pool.setPriority(broker.SetPriority{Attempt: attempt(3), Priority: 0})
	s.pool.setPriority(broker.SetPriority{Attempt: attempt(3), Priority: 7})
	drained := runConn(t, transport)
	waitUntil(t, "all has left, so that nothing can be withdrawn", transport.AllSent)
	s.pool.cancelAttempt(attempt(1))
	s.pool.setPriority(broker.SetPriority{Attempt: attempt(1), Priority: 9}) // cancelled: nothing is sent
	s.pool.releaseAttempt(broker.ReleaseAttempt{Attempt: attempt(2), PagesLeft: true})
	s.pool.releaseAttempt(broker.ReleaseAttempt{Attempt: attempt(3)})
	s.pool.suspect(s.pool.connsByEngine["e1"][0], time.Now())
	transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown})
	all, err := io.ReadAll(far)
	if err != nil {
		t.Fatal(err)
	}
	if err := far.Close(); err != nil {
		t.Error(err)
	}
	if got := netconn.ReasonOf(receive(t, drained, "the end of the connection")); got != netconn.Shutdown {
		t.Errorf("it ended as %s", got)
	}
	sent := strings.ReplaceAll(fmt.Sprintf("%q", all), `\r\n*`, "\\r\\n\n*") + "\n" // a command a line
	CompareGolden(t, "commands", sent)
}
