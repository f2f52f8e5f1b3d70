package server

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/invariant"
	"wheatlane/internal/resp"
	"wheatlane/internal/server/netconn"
)

var firstAttempt, secondAttempt = broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}

// Idle connections to engines are closed by the broker, before the engines do.
func TestIdleEngineConnectionsAreClosed(t *testing.T) {
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: 100 * time.Millisecond}, listed("e1", e))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	e.expectAttempt(t).replyOK()
	c.expect("rows ")
	receive(t, e.closed, "the end of an idle connection")
	c.query(statement("lookup", 2, longTimeout, ""))
	e.expectAttempt(t).replyOK()
	c.expect("rows ")
}

// sentCommands ends a connection and returns what leaves on it, as command and request id.
func sentCommands(t *testing.T, transport *netconn.Conn, far io.Reader) (commands []string) {
	t.Helper()
	transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown})
	runConn(t, transport)
	sent, err := io.ReadAll(far)
	if err != nil {
		t.Fatal(err)
	}
	for len(sent) > 0 {
		parts, size, err := resp.Parse(sent)
		if err != nil || size == 0 {
			t.Fatalf("the engine can't parse %q", sent)
		}
		commands = append(commands, string(parts[0])+" "+string(parts[1]))
		sent = sent[size:]
	}
	return commands
}

// What waits behind other bytes on its way to an engine is withdrawn, with its later commands, when its
// client has left, it is cancelled, or its engine drains; its neighbours leave.
func TestUnsentAttemptsAreWithdrawn(t *testing.T) {
	neverSent := func(id broker.AttemptID) broker.Event {
		return broker.AttemptEnded{Attempt: id, Status: control.NeverSent}
	}
	for name, tt := range map[string]struct {
		act    func(p *enginePool)
		sent   []string
		events []broker.Event
	}{
		"client left": {
			func(p *enginePool) { p.withdrawAttempt(firstAttempt) },
			[]string{"want 2"},
			[]broker.Event{neverSent(firstAttempt)},
		},
		"cancelled": {
			func(p *enginePool) { p.cancelAttempt(firstAttempt) },
			[]string{"want 2"},
			[]broker.Event{neverSent(firstAttempt)},
		},
		"engine drains": {
			func(p *enginePool) { p.cancelUnsent("e1") },
			nil,
			[]broker.Event{neverSent(firstAttempt), neverSent(secondAttempt)},
		},
		"another engine drains": {
			func(p *enginePool) { p.cancelUnsent("e2") },
			[]string{"want 1", "want 2", "hurry 1"},
			nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, transport, far := newIdleServer(t)
			startAttempt(s, firstAttempt, "lookup", time.Second)
			startAttempt(s, secondAttempt, "lookup", time.Second)
			s.pool.setPriority(broker.SetPriority{Attempt: firstAttempt, Priority: 3})
			tt.act(s.pool)
			if diff := cmp.Diff(tt.sent, sentCommands(t, transport, far)); diff != "" {
				t.Errorf("sent: %s", diff)
			}
			if diff := cmp.Diff(tt.events, s.pendingEvents); diff != "" {
				t.Errorf("events of the reducer: %s", diff)
			}
		})
	}
}

// A connection that its engine may close any moment, as it was idle for long, takes nothing new, however
// seldom idle ones are looked for: a request put on it would cross the close, and nobody would know whether
// it ran.
func TestIdleEngineConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = time.Second
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, listed("e1", e))
	inLoop(s, func(server *Server) bool { server.sweepInterval = time.Hour; return true })
	first := s.serveOn(e, 1)
	if s.serveOn(e, 2).conn != first.conn {
		t.Fatal("a fresh connection was not used again")
	}
	inLoop(s, func(server *Server) bool {
		for _, c := range server.pool.connsByEngine["e1"] {
			c.lastUsed = c.lastUsed.Add(-idleTimeout * 7 / 10)
		}
		return true
	})
	if s.serveOn(e, 3).conn == first.conn {
		t.Fatal("an idle connection was used")
	}
}

// Idle timeouts shorter than the usual interval of the sweep are kept as well.
func TestSweepIntervalFollowsIdleTimeout(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, listed("e1", e))
	s.serveOn(e, 1)
	receive(t, e.closed, "the end of the idle connection")
	s.expectEnd(e.addr, netconn.Idle)
	interval := inLoop(s, func(server *Server) time.Duration { return server.sweepInterval })
	if interval >= idleTimeout {
		t.Fatalf("idle connections are looked for every %v, and engines close them after %v", interval, idleTimeout)
	}
}

// Where the limit of sockets allows no more connections to engines, the one idle longest is evicted:
// engines without any would else be held for out of order.
func TestIdleConnectionIsEvictedForAnotherEngine(t *testing.T) {
	e, other := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, listed("e1", e))
	s.serveOn(e, 1)
	inLoop(s, func(server *Server) bool {
		server.pool.connCount = server.cfg.Sockets / engineSocketDivisor
		return true
	})
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0), listed("e2", other)), 2)
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	attempt := other.expectAttempt(t)
	receive(t, e.closed, "the end of the idle connection")
	s.expectEnd(e.addr, netconn.EvictedIdle)
	attempt.replyOK()
	b.expect("rows ")
}

// With no idle connection to evict, an attempt never leaves, which says nothing against its engine.
func TestNoCapacityForAnotherConnection(t *testing.T) {
	s, _, _ := newIdleServer(t)
	startAttempt(s, firstAttempt, "lookup", time.Second)
	s.pool.connCount = s.cfg.Sockets / engineSocketDivisor
	s.pool.startAttempt(broker.StartAttempt{
		Attempt: secondAttempt, Engine: "e2", Addr: "b", RequestID: "2", Class: "lookup",
		Timeout: time.Second, Priority: 1,
	})
	want := []broker.Event{broker.AttemptEnded{Attempt: secondAttempt, Status: control.AtCapacity}}
	if diff := cmp.Diff(want, s.pendingEvents); diff != "" {
		t.Fatalf("events of the reducer: %s", diff)
	}
}

// Settings may let a connection take one attempt only. An engine still gets as many at once as it is sent.
func TestAttemptsWithOneStreamPerConnection(t *testing.T) {
	e := newFakeEngine(t)
	oneStream := func(c *config.Config) { c.Settings.MaxStreams = 1 }
	s := startServerWith(t, serverOptions{configure: oneStream}, listed("e1", e))
	const clients = 2 * defaultConnsPerEngine
	for i := range clients {
		s.connect(statement("lookup", i+1, longTimeout, ""))
	}
	conns := map[net.Conn]bool{}
	for range clients {
		conns[e.expectAttempt(t).conn] = true
	}
	if len(conns) != clients {
		t.Fatalf("%d attempts on %d connections", clients, len(conns))
	}
}

// A connection is closed by the broker as a request is on its way to the goroutine that writes: what is
// reported as never sent, and may be sent elsewhere for that, does not leave any more. What has begun to
// leave counts as sent.
func TestClosedConnectionSendsNothing(t *testing.T) {
	s, transport, far := newIdleServer(t)
	startAttempt(s, firstAttempt, "once", time.Second)
	firstBytes := len(transport.NextBytes()) // they are being written as the connection is closed
	startAttempt(s, secondAttempt, "once", time.Second)
	s.pool.closeConnections("e1", 0)
	want := []broker.Event{
		broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
		broker.AttemptEnded{Attempt: secondAttempt, Status: control.ConnectFailed, SharedCause: true},
	}
	if diff := cmp.Diff(want, s.pendingEvents); diff != "" {
		t.Errorf("events of the reducer: %s", diff)
	}
	transport.CloseAfterSent(&netconn.EndError{Reason: netconn.Shutdown}) // the writer comes to it ahead of the close
	runConn(t, transport)
	if sent, err := io.ReadAll(far); err != nil || len(sent) != firstBytes {
		t.Errorf("the engine got %q, %v", sent, err)
	}
}

// The timeout that an engine is told is what the client has left as the request leaves, also where it waited for
// its connection, or behind other bytes, since it was decided on.
func TestTimeoutOfALateConnection(t *testing.T) {
	const timeout = 15 * time.Second
	e, open := newUnconnectableEngine(t)
	s := startServerWith(t, serverOptions{configure: func(cfg *config.Config) {
		cfg.Settings.ConnectTimeout = timeout // the system tries again after a second
	}}, listed("e1", e))
	sentAt := time.Now()
	s.connect(statement("lookup", 1, timeout, ""))
	waitUntil(t, "the system asks for a connection", func() bool { return asksForConnection(t, e.addr) })
	open()
	attempt := e.expectAttempt(t)
	left := timeout - time.Since(sentAt)
	if told := toldTimeout(t, attempt); told > left+invariant.TimeoutSlack {
		t.Errorf("the engine was told %v, %v after the request, which leaves %v", told, time.Since(sentAt), left)
	}
}

// asksForConnection reports whether the system has asked for a connection to an address and has no answer yet.
func asksForConnection(t *testing.T, addr string) bool {
	t.Helper()
	const synSent = "02" // in the column st of the table
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(addr).Port()
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X %s", port, synSent))
}

// toldTimeout is the timeout in an attempt's message.
func toldTimeout(t *testing.T, attempt engineMessage) time.Duration {
	t.Helper()
	_, rest, found := strings.Cut(attempt.fields(), "patience=")
	text, _, _ := strings.Cut(rest, ",")
	ms, err := strconv.Atoi(text)
	if !found || err != nil {
		t.Fatalf("no timeout in %q", attempt.fields())
	}
	return time.Duration(ms) * time.Millisecond
}

// A message that has waited behind a blocked write for longer than its timeout may be off is made anew, with the
// time that is left and the priority of now; one whose time is over does not leave.
func TestExpiredMessagesAreMadeAnew(t *testing.T) {
	const timeout, waited = time.Second, 300 * time.Millisecond
	clock := time.Now
	s, transport, far := newIdleServerWithClock(t, func() time.Time { return clock() })
	s.cfg.Settings.ConnectTimeout = timeout
	startAttempt(s, firstAttempt, "lookup", timeout)
	startAttempt(s, secondAttempt, "lookup", waited)
	s.pool.setPriority(broker.SetPriority{Attempt: firstAttempt, Priority: 3})
	for _, id := range []broker.AttemptID{firstAttempt, secondAttempt} {
		stream := s.pool.inFlight[id]
		stream.startedAt = stream.startedAt.Add(-waited)
	}
	clock = func() time.Time { return time.Now().Add(waited) }
	if next := transport.NextBytes(); strings.Contains(string(next), "want") {
		t.Fatalf("%q leaves though it is out of date", next)
	}
	transport.MarkSent(0) // the system takes nothing of what is left
	clock = time.Now      // what is made anew has not waited
	s.pool.resendExpired()
	ended := []broker.Event{broker.AttemptEnded{Attempt: secondAttempt, Status: control.NeverSent}}
	if diff := cmp.Diff(ended, s.pendingEvents); diff != "" {
		t.Errorf("events of the reducer: %s", diff)
	}
	if left := s.pool.inFlight[firstAttempt].timeLeft(time.Now()); left > timeout-waited {
		t.Errorf("%v are left of %v after %v", left, timeout, waited)
	}
	if diff := cmp.Diff([]string{"want 1", "hurry 1"}, sentCommands(t, transport, far)); diff != "" {
		t.Errorf("sent: %s", diff)
	}
}

// A message that expired and was not made anew yet is withdrawn as one that never left, by whatever ends it.
func TestExpiredMessageNeverLeft(t *testing.T) {
	for name, end := range map[string]func(s *Server){
		"cancelled": func(s *Server) { s.pool.cancelAttempt(firstAttempt) },
		"withdrawn": func(s *Server) { s.pool.withdrawAttempt(firstAttempt) },
	} {
		t.Run(name, func(t *testing.T) {
			clock := time.Now
			s, transport, _ := newIdleServerWithClock(t, func() time.Time { return clock() })
			startAttempt(s, firstAttempt, "lookup", time.Second)
			clock = func() time.Time { return time.Now().Add(staleAfter) }
			transport.NextBytes()
			end(s)
			want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.NeverSent}}
			if diff := cmp.Diff(want, s.pendingEvents); diff != "" {
				t.Errorf("events of the reducer: %s", diff)
			}
		})
	}
}
