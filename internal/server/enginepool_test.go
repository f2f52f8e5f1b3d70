package server

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/config"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// Idle connections to engines are closed by the broker, before the engines do.
func TestIdleEngineConnectionsAreClosed(t *testing.T) {
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: 100 * time.Millisecond}, inService("e1", e))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	e.expectAttempt(t).replyOK()
	c.expect("rows ")
	socktest.Receive(t, e.closed, "the end of an idle connection")
	c.query(statement("lookup", 2, longTimeout, ""))
	e.expectAttempt(t).replyOK()
	c.expect("rows ")
}

// A connection that its engine may close any moment, as it was idle for long, takes nothing new, however
// seldom idle ones are looked for: a request put on it would cross the close, and nobody would know whether
// it ran.
func TestIdleEngineConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = time.Second
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, inService("e1", e))
	s.reconfigurePool(func(pool *enginepool.Config) { pool.SweepInterval = time.Hour })
	first := s.serveOn(e, 1)
	if s.serveOn(e, 2).conn != first.conn {
		t.Fatal("a fresh connection was not used again")
	}
	s.reconfigurePool(func(pool *enginepool.Config) { pool.IdleTimeout = time.Nanosecond })
	if s.serveOn(e, 3).conn == first.conn {
		t.Fatal("an idle connection was used")
	}
}

// Idle timeouts shorter than the usual interval of the sweep are kept as well.
func TestSweepIntervalFollowsIdleTimeout(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, inService("e1", e))
	s.serveOn(e, 1)
	socktest.Receive(t, e.closed, "the end of the idle connection")
	s.expectEnd(e.addr, netconn.Idle)
	interval := inLoop(s, func(server *Server) time.Duration { return server.pool.Config().SweepInterval })
	if interval >= idleTimeout {
		t.Fatalf("idle connections are looked for every %v, and engines close them after %v", interval, idleTimeout)
	}
}

// Where the limit of sockets allows no more connections to engines, the one idle longest is evicted:
// engines without any would else be held for out of order.
func TestIdleConnectionIsEvictedForAnotherEngine(t *testing.T) {
	e, other := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	s.serveOn(e, 1)
	s.reconfigurePool(func(pool *enginepool.Config) { pool.MaxConns = 1 })
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0), inService("e2", other)), 2)
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	attempt := other.expectAttempt(t)
	socktest.Receive(t, e.closed, "the end of the idle connection")
	s.expectEnd(e.addr, netconn.EvictedIdle)
	attempt.replyOK()
	b.expect("rows ")
}

// Settings may let a connection take one attempt only. An engine still gets as many at once as it is sent.
func TestAttemptsWithOneStreamPerConnection(t *testing.T) {
	e := newFakeEngine(t)
	oneStream := func(c *config.Config) { c.Settings.MaxStreams = 1 }
	s := startServerWith(t, serverOptions{configure: oneStream}, inService("e1", e))
	const clients = 16 // twice as many as connections where each takes many streams
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

// The timeout that an engine is sent is what the client has left as the request leaves, also where it waited for
// its connection, or behind other bytes, since it was decided on.
func TestTimeoutOfALateConnection(t *testing.T) {
	const timeout = 15 * time.Second
	e, open := newUnconnectableEngine(t)
	s := startServerWith(t, serverOptions{configure: func(cfg *config.Config) {
		cfg.Settings.ConnectTimeout = timeout // the system tries again after a second
	}}, inService("e1", e))
	sentAt := time.Now()
	s.connect(statement("lookup", 1, timeout, ""))
	socktest.WaitUntil(t, "the system asks for a connection", func() bool { return isConnecting(t, e.addr) })
	open()
	attempt := e.expectAttempt(t)
	left := timeout - time.Since(sentAt)
	if sent := sentTimeout(t, attempt); sent > left+invariant.TimeoutSlack {
		t.Errorf("the engine was sent %v, %v after the request, which leaves %v", sent, time.Since(sentAt), left)
	}
}

// isConnecting reports whether the system has asked for a connection to an address and has no answer yet.
func isConnecting(t *testing.T, addr string) bool {
	t.Helper()
	const synSent = "02" // in the column st of the table
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(addr).Port()
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X %s", port, synSent))
}

// sentTimeout returns the timeout in an attempt's message.
func sentTimeout(t *testing.T, attempt engineMessage) time.Duration {
	t.Helper()
	_, rest, found := strings.Cut(attempt.fields(), "patience=")
	text, _, _ := strings.Cut(rest, ",")
	ms, err := strconv.Atoi(text)
	if !found || err != nil {
		t.Fatalf("no timeout in %q", attempt.fields())
	}
	return time.Duration(ms) * time.Millisecond
}
