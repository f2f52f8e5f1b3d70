package enginepool

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/goldenfile"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// The commands to engines, with all of their fields, match the golden file byte for byte.
func TestEngineCommandsMatchGoldenFile(t *testing.T) {
	p := newIdlePool(t)
	p.config.LoadProbes = true
	attempt := func(request uint64) broker.AttemptID { return broker.AttemptID{Request: request} }
	want := broker.StartAttempt{
		Attempt: attempt(1), Engine: "e1", Addr: "a", RequestID: "00000000000000a1", Class: "lookup",
		IdempotencyKey: "op-1", Timeout: 1500*time.Millisecond + 999*time.Microsecond, GrantMB: 12.25, Priority: 3,
		Body: "SELECT 'ä\r\n'",
	}
	p.StartAttempt(want)
	p.StartAttempt(broker.StartAttempt{
		Attempt: attempt(2), Engine: "e1", Addr: "a", RequestID: "00000000000000a2", Class: "load",
		Timeout: time.Microsecond, Priority: 1, Body: "",
	})
	p.StartAttempt(broker.StartAttempt{
		Attempt: attempt(3), Engine: "e1", Addr: "a", RequestID: "00000000000000a3", Class: "once",
		Timeout: time.Hour, GrantMB: 1e7, Priority: -1, Body: "x",
	})
	p.StartProbe(broker.ProbeLoad{ProbeID: 18446744073709551615, Engine: "e1", Addr: "a"})
	p.FetchPage(broker.FetchPage{Attempt: attempt(2), Page: 1})
	p.FetchPage(broker.FetchPage{Attempt: attempt(2), Page: 12345})
	p.SetPriority(broker.SetPriority{Attempt: attempt(3), Priority: 0})
	p.SetPriority(broker.SetPriority{Attempt: attempt(3), Priority: 7})
	drained := p.run(t)
	socktest.WaitUntil(t, "all bytes are sent, so that nothing can be withdrawn", p.transport.AllSent)
	p.CancelAttempt(attempt(1))
	p.SetPriority(broker.SetPriority{Attempt: attempt(1), Priority: 9}) // cancelled: nothing is sent
	p.ReleaseAttempt(broker.ReleaseAttempt{Attempt: attempt(2), PagesLeft: true})
	p.ReleaseAttempt(broker.ReleaseAttempt{Attempt: attempt(3)})
	p.suspect(p.conn, time.Now())
	p.transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown})
	all, err := io.ReadAll(p.engineSocket)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.engineSocket.Close(); err != nil {
		t.Error(err)
	}
	if got := netconn.ReasonOf(socktest.Receive(t, drained, "the end of the connection")); got != netconn.Shutdown {
		t.Errorf("the connection ended with reason %s, want %s", got, netconn.Shutdown)
	}
	sent := strings.ReplaceAll(fmt.Sprintf("%q", all), `\r\n*`, "\\r\\n\n*") + "\n" // one command per line
	diff, err := goldenfile.Diff(filepath.Join("testdata", "commands.golden"), sent)
	if err != nil {
		t.Fatal(err)
	}
	if diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
