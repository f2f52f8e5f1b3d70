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

// The broker closes idle connections to engines before the engines close them.
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

// A connection past its idle timeout gets no new requests, even if the idle sweep runs rarely. The engine may close
// such a connection at any moment, and a request that raced with the close would have an unknown outcome.
func TestIdleEngineConnectionIsNotUsed(t *testing.T) {
	const idleTimeout = time.Second
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, inService("e1", e))
	s.reconfigurePool(func(pool *enginepool.Config) { pool.SweepInterval = time.Hour })
	first := s.serveOn(e, 1)
	if s.serveOn(e, 2).conn != first.conn {
		t.Fatal("the second request did not reuse the fresh connection")
	}
	s.reconfigurePool(func(pool *enginepool.Config) { pool.IdleTimeout = time.Nanosecond })
	if s.serveOn(e, 3).conn == first.conn {
		t.Fatal("the third request used the connection past its idle timeout")
	}
}

// The sweep interval follows idle timeouts that are shorter than the default interval.
func TestSweepIntervalFollowsIdleTimeout(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	e := newFakeEngine(t)
	s := startServerWith(t, serverOptions{idleTimeout: idleTimeout}, inService("e1", e))
	s.serveOn(e, 1)
	socktest.Receive(t, e.closed, "the end of the idle connection")
	s.expectEnd(e.addr, netconn.Idle)
	interval := inLoop(s, func(server *Server) time.Duration { return server.pool.Config().SweepInterval })
	if interval >= idleTimeout {
		t.Fatalf("sweep interval is %v, want less than the idle timeout of %v", interval, idleTimeout)
	}
}

// At the limit of engine connections, the connection that has been idle longest is evicted. Otherwise engines without
// a connection would be considered unreachable.
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

// With a limit of one stream per connection, concurrent attempts at an engine each get a connection of their own.
func TestAttemptsWithOneStreamPerConnection(t *testing.T) {
	e := newFakeEngine(t)
	oneStream := func(c *config.Config) { c.Settings.MaxStreams = 1 }
	s := startServerWith(t, serverOptions{configure: oneStream}, inService("e1", e))
	const clients = 16 // twice the connections that the pool opens with several streams each
	for i := range clients {
		s.connect(statement("lookup", i+1, longTimeout, ""))
	}
	conns := map[net.Conn]bool{}
	for range clients {
		conns[e.expectAttempt(t).conn] = true
	}
	if len(conns) != clients {
		t.Fatalf("%d attempts are on %d connections, want one connection each", clients, len(conns))
	}
}

// The timeout sent to an engine is the client's remaining time when the request is sent. It excludes the time that the
// request waits for its connection to be established, or behind other bytes.
func TestSentTimeoutExcludesConnectTime(t *testing.T) {
	const timeout = 15 * time.Second
	e, open := newUnconnectableEngine(t)
	s := startServerWith(t, serverOptions{configure: func(cfg *config.Config) {
		cfg.Settings.ConnectTimeout = timeout // the kernel retries the SYN after a second
	}}, inService("e1", e))
	sentAt := time.Now()
	s.connect(statement("lookup", 1, timeout, ""))
	socktest.WaitUntil(t, "the kernel has sent a SYN", func() bool { return isConnecting(t, e.addr) })
	open()
	attempt := e.expectAttempt(t)
	left := timeout - time.Since(sentAt)
	if sent := sentTimeout(t, attempt); sent > left+invariant.TimeoutSlack {
		t.Errorf("timeout sent %v after the request is %v, want at most the remaining %v", time.Since(sentAt), sent, left)
	}
}

// isConnecting reports whether the kernel has sent a SYN to an address and has no response yet.
func isConnecting(t *testing.T, addr string) bool {
	t.Helper()
	const synSent = "02" // in column st of the table
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
		t.Fatalf("no timeout in attempt fields %q", attempt.fields())
	}
	return time.Duration(ms) * time.Millisecond
}
