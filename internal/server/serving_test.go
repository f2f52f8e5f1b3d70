package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/config"
	"wheatlane/internal/socktest"
	"wheatlane/internal/usage"
)

// Rule 1: a request gets its one complete answer, also where login and query come ahead of the greeting and
// the result has several pages, which come in any order. What the engine is sent is what the client sent.
func TestRequestIsServed(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("lookup", 7, longTimeout, ""))
	attempt := e.expectAttempt(t)
	if attempt.requestID() != "0000000000000007" || attempt.body() != "SELECT a FROM s_1.t" ||
		!strings.HasPrefix(attempt.fields(), "sort=lookup,patience=1") ||
		!strings.Contains(attempt.fields(), ",op=op7") {
		t.Fatalf("engine got %q", attempt.words)
	}
	attempt.reply(attempt.requestID(), "OK", "sheets=3,toil=5,room=1", "1\t2\t3\n")
	for range 2 {
		e.expect(t, commandFetchPage)
	}
	attempt.reply(attempt.requestID(), "ROWS", "sheet=2", "7\t8\t9\n")
	attempt.reply(attempt.requestID(), "ROWS", "sheet=1", "4\t\t6\n")
	c.expect("rows 1|2|3|4||6|7|8|9|")
	c.ping()
}

// Rule 1: what no engine answers is rejected before the client's timeout.
func TestSilentEngineLeadsToRejectionInTime(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("lookup", 1, 300*time.Millisecond, ""))
	attempt := e.expectAttempt(t)
	c.expect("1226")
	e.expectCancel(t, attempt)
}

// Rule 2: a retry or a rejection only where it can do no harm, by what proves that nothing ran.
func TestRetryOnlyWhereHarmless(t *testing.T) {
	busy := func(m engineMessage) { m.reply(m.requestID(), "BUSY", "-", "") }
	fail := func(m engineMessage) { m.reply(m.requestID(), "ERR", "-", "") }
	for name, tt := range map[string]struct {
		class   string
		end     func(m engineMessage)
		retried bool
		want    string
	}{
		"busy never ran":               {"once", busy, true, "rows "},
		"an error may have run":        {"once", fail, false, "1105"},
		"a reset may have run":         {"once", engineMessage.closeConn, false, "1105"},
		"malformed bytes may have run": {"once", func(m engineMessage) { m.write([]byte("?")) }, false, "1105"},
		"a reset, idempotent with key": {"load", engineMessage.closeConn, true, "rows "},
		"an error, idempotent":         {"lookup", fail, true, "rows "},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeEngine(t), newFakeEngine(t)
			s := startServer(t, inService("e1", first), inService("e2", second))
			messages := merge(first.messages, second.messages)
			client := s.connect(statement(tt.class, 1, time.Second, ""))
			attempt := socktest.Receive(t, messages, "an attempt")
			tt.end(attempt)
			if tt.retried {
				retry := socktest.Receive(t, messages, "another attempt")
				if retry.requestID() != attempt.requestID() || !strings.Contains(retry.fields(), "op=op1") {
					t.Fatalf("got %q", retry.words)
				}
				retry.replyOK()
			}
			client.expect(tt.want)
			select {
			case m := <-messages:
				t.Fatalf("more came: %q", m.words)
			default:
			}
		})
	}
}

// merge passes on what comes on several channels.
func merge[T any](from ...chan T) <-chan T {
	to := make(chan T)
	for _, c := range from {
		go func() {
			for v := range c {
				to <- v
			}
		}()
	}
	return to
}

// Rule 2: a refused connect proves that nothing ran, so a rejection is true.
func TestRefusedConnectLeadsToRejection(t *testing.T) {
	e := newFakeEngine(t)
	if err := e.listener.Close(); err != nil {
		t.Fatal(err)
	}
	s := startServer(t, inService("e1", e))
	s.connect(statement("once", 1, 300*time.Millisecond, "")).expect("1226")
}

// Rule 3: an engine that drains gets nothing new; one that is gone loses its connections, and so does one
// whose address passes to another.
func TestEngineDrainsAndIsRemoved(t *testing.T) {
	e, other := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	attempt := e.expectAttempt(t)
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0), inService("e2", other)), 2)
	for i := range 5 {
		s.serveOn(other, 10+i)
	}
	attempt.reply(attempt.requestID(), "OK", "-", "x\ty\tz\n") // what it holds it may finish
	a.expect("rows x|y|z|")

	s.publish(pageJSON(3, false, inService("e3", e)), 3)
	socktest.Receive(t, e.closed, "the end of the old engine's connection")
	b := s.connect(statement("lookup", 20, longTimeout, ""))
	select {
	case attempt = <-e.messages:
	case attempt = <-other.messages:
	case <-time.After(testTimeout):
		t.Fatal("no attempt came")
	}
	s.publish(pageJSON(4, false, endpointJSON("e2", other.addr, "terminated", 0),
		endpointJSON("e3", e.addr, "terminated", 0), inService("e4", e)), 4)
	retry := e.expectAttempt(t) // its attempt was lost with the engine
	if retry.requestID() != attempt.requestID() {
		t.Fatalf("got %q", retry.words)
	}
	retry.replyOK()
	b.expect("rows ")
}

// serveOn has a client's request answered by an engine that must get it.
func (s *testServer) serveOn(e *fakeEngine, number int) engineMessage {
	s.t.Helper()
	c := s.connect(statement("lookup", number, longTimeout, ""))
	attempt := e.expectAttempt(s.t)
	attempt.replyOK()
	c.expect("rows ")
	return attempt
}

// Rule 4: a newly started engine is sent no more than its slow-start budget, however many requests wait.
func TestSlowStartLimitsNewEngine(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", time.Now().UnixMilli()))
	clients := make([]*testClient, 100)
	for i := range clients {
		clients[i] = s.connect()
	}
	for i, c := range clients {
		c.query(statement("lookup", i, 500*time.Millisecond, ""))
	}
	for _, c := range clients {
		c.expect("1226")
	}
	attempts := 0
	for len(e.messages) > 0 {
		if m := <-e.messages; m.command() == commandStart {
			attempts++
		}
	}
	// 2.5 times a third of 8 cores, 85% of them busy, for a second; the module takes a lookup for 0.1 s.
	if limit := 56; attempts == 0 || attempts > limit {
		t.Fatalf("%d were sent, %d at the most", attempts, limit)
	}
}

// Rule 5: requests of one order key run one at a time and in order, on whichever connections they come.
func TestOneInFlightPerOrderKey(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	const key = "7f3a9c21e0b4d655"
	a := s.connect(statement("load", 1, longTimeout, key))
	first := e.expectAttempt(t)
	b := s.connect(statement("load", 2, longTimeout, key))
	c := s.connect(statement("lookup", 3, longTimeout, "")) // accepted after it, and sent while that waits
	other := e.expectAttempt(t)
	if other.requestID() != fmt.Sprintf("%016x", 3) {
		t.Fatalf("%s was sent while its key was busy", other.requestID())
	}
	other.replyOK()
	c.expect("rows ")
	first.replyOK()
	a.expect("rows ")
	e.expectAttempt(t).replyOK()
	b.expect("rows ")
}

// What a broker spent of what its fleet shares is in its log, whenever it ends: one request, its attempt,
// the one connection it took, and the polls of the change log, whose number differs from run to run.
func TestUsageIsLogged(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	s.serveOn(e, 1)
	close(s.stopSignal)
	s.waitForEnd()
	got := map[string]uint64{}
	for _, line := range s.logs.FilterMessage(usage.LogMessage).All() {
		for name, v := range line.ContextMap() {
			got[name] += v.(uint64)
		}
	}
	if got["polls"] == 0 {
		t.Fatal("no poll of the change log was counted")
	}
	delete(got, "polls")
	want := map[string]uint64{
		"requests": 1, "first_attempts": 1, "retries": 0, "rejections": 0, "load_probes": 0, "liveness_probes": 0,
		"dials": 1, "gossip_sent": 0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// The change log lists an engine's restart late. A connection to the process before it is closed and its
// attempts are retried; one that was dialed since is to the new process, and its attempts go on.
func TestLateNoticeOfEngineRestart(t *testing.T) {
	for name, tt := range map[string]struct {
		startedAfter time.Duration // the connection came up
		kept         bool
	}{
		"restarted since":  {10 * time.Millisecond, false},
		"restarted before": {-time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServerWith(t, serverOptions{configure: withoutSlowStart}, inService("e1", e))
			DisableConnectionTimeouts(s.server)
			a := s.connect(statement("lookup", 1, longTimeout, ""))
			attempt := e.expectAttempt(t)
			bornMS := time.Now().Add(tt.startedAfter).UnixMilli()
			s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "in_service", bornMS)), 2)
			if !tt.kept {
				socktest.Receive(t, e.closed, "the end of the old process's connection")
				attempt = e.expectAttempt(t)
			}
			attempt.reply(attempt.requestID(), "OK", "-", "x\ty\tz\n")
			a.expect("rows x|y|z|")
			conns := inLoop(s, func(server *Server) int { return server.pool.Stats().Connections })
			if conns != 1 || len(e.messages)+len(e.closed) > 0 {
				t.Fatalf("%d connections, %d more messages and %d more ends", conns, len(e.messages), len(e.closed))
			}
		})
	}
}

// withoutSlowStart gives a restarted engine its full share at once, and all classes so much time that no attempt
// counts as lost, so that what an engine is sent does not depend on how long a test stands still.
func withoutSlowStart(cfg *config.Config) {
	classes := slices.Clone(cfg.Settings.Control.Classes)
	for i := range classes {
		classes[i].LatencyObjective, classes[i].ClientTimeout = neverExpires, neverExpires
	}
	cfg.Settings.Control.Classes, cfg.Settings.MaxClientTimeout = classes, neverExpires
	cfg.Settings.Control.Rules.SlowStartDuration = 0
}
