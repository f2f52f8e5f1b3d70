package server

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/resp"
)

// Connections to engines that are idle are closed from this side, before the engines do.
func TestIdleEngineConnectionsAreClosed(t *testing.T) {
	e := newFakeEngine(t)
	s := startWithLimits(t, 100*time.Millisecond, 1024, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
	receive(t, e.closed, "the end of an idle connection")
	c.query(statement("lookup", 2, longTimeout, ""))
	w = e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
}

// What waits behind other bytes on its way to an engine is taken back whole, with what was said of it since, when its
// client has left, it is given up, or its engine drains; what is beside it leaves. What has begun to leave is called off.
func TestUnsentAttemptsAreWithdrawn(t *testing.T) {
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	for name, c := range map[string]struct {
		do   func(n *Server)
		left []string       // what leaves, by word and id
		end  []broker.Event // what the reducer is told
	}{
		"client left": {func(n *Server) { n.pool.withdrawAttempt(one) }, []string{"want 2"}, []broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}}},
		"given up":    {func(n *Server) { n.pool.cancelAttempt(one) }, []string{"want 2"}, []broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}}},
		"drained": {
			func(n *Server) { n.pool.cancelUnsent("e1") }, nil,
			[]broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}, broker.AttemptEnded{Attempt: two, Status: control.NeverSent}},
		},
		"another engine drained": {func(n *Server) { n.pool.cancelUnsent("e2") }, []string{"want 1", "want 2", "hurry 1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			n, l, far := newIdleServer(t)
			for i, a := range []broker.AttemptID{one, two} {
				n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: fmt.Sprint(i + 1), Class: "lookup", Timeout: time.Second, Priority: 1})
			}
			n.pool.setPriority(broker.SetPriority{Attempt: one, Priority: 3})
			c.do(n)
			l.closeAfterSent(&endError{Reason: Shutdown})
			go l.writeLoop(t.Context())
			all, _ := io.ReadAll(far)
			var left []string
			for len(all) > 0 {
				parts, size, err := resp.Parse(all)
				if err != nil || size == 0 {
					t.Fatalf("the engine can't read %q", all)
				}
				left = append(left, string(parts[0])+" "+string(parts[1]))
				all = all[size:]
			}
			if fmt.Sprint(left) != fmt.Sprint(c.left) {
				t.Errorf("left: %q, want %q", left, c.left)
			}
			if fmt.Sprint(n.pendingEvents) != fmt.Sprint(c.end) {
				t.Errorf("told: %v, want %v", n.pendingEvents, c.end)
			}
		})
	}
}

// A connection that its engine may close any moment, as it was idle for long, takes nothing new, however seldom idle
// ones are looked for: a request put on it would cross the close, and nobody would know whether it ran.
func TestIdleEngineConnectionIsNotUsed(t *testing.T) {
	const limit = time.Second
	e := newFakeEngine(t)
	s := startConfigured(t, nopMeter{}, limit, 1024, func(*config.Config) {}, endpointJSON("e1", e.addr, "in_service", 0))
	inLoop(s, func(n *Server) bool { n.sweepInterval = time.Hour; return true })
	ask := func(n int) engineMessage {
		c := s.connect(statement("lookup", n, longTimeout, ""))
		w := e.expect(t, "want")
		w.reply(w.requestID(), "OK", "-", "")
		c.expect("rows ")
		return w
	}
	first := ask(1)
	if ask(2).conn != first.conn {
		t.Fatal("a fresh connection was not used again")
	}
	inLoop(s, func(n *Server) bool {
		for _, c := range n.pool.connsByEngine["e1"] {
			c.lastUsed = c.lastUsed.Add(-limit * 7 / 10)
		}
		return true
	})
	if ask(3).conn == first.conn {
		t.Fatal("an idle connection was used")
	}
}

// Idle limits shorter than the usual period of the sweep are kept as well.
func TestSweepIntervalFollowsIdleTimeout(t *testing.T) {
	const limit = 300 * time.Millisecond
	e := newFakeEngine(t)
	s := startWithLimits(t, limit, 1024, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
	receive(t, e.closed, "the end of the idle connection")
	if got := s.endReasons(e.addr); got != string(Idle) {
		t.Fatalf("it ended as %s", got)
	}
	if every := inLoop(s, func(n *Server) time.Duration { return n.sweepInterval }); every >= limit {
		t.Fatalf("idle connections are looked for every %v, and engines close them after %v", every, limit)
	}
}

// Where the limit of sockets allows no more connections to engines, the one idle longest makes room: engines that have
// none would else be held for out of order.
func TestIdleConnectionIsEvictedForAnotherEngine(t *testing.T) {
	e, o := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	a.expect("rows ")
	inLoop(s, func(n *Server) bool { n.pool.connCount = n.cfg.Sockets / engineSocketDivisor; return true })
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0), endpointJSON("e2", o.addr, "in_service", 0)), 2)
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	w = o.expect(t, "want")
	receive(t, e.closed, "the end of the idle connection")
	if got := s.endReasons(e.addr); got != string(EvictedIdle) {
		t.Fatalf("it ended as %s", got)
	}
	w.reply(w.requestID(), "OK", "-", "")
	b.expect("rows ")
}

// With no idle connection to make room, an attempt never leaves, which says nothing against its engine.
func TestNoCapacityForAnotherConnection(t *testing.T) {
	n, _, _ := newIdleServer(t)
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	n.pool.startAttempt(broker.StartAttempt{Attempt: one, Engine: "e1", Addr: "a", RequestID: "1", Class: "lookup", Timeout: time.Second, Priority: 1})
	n.pool.connCount = n.cfg.Sockets / engineSocketDivisor
	n.pool.startAttempt(broker.StartAttempt{Attempt: two, Engine: "e2", Addr: "b", RequestID: "2", Class: "lookup", Timeout: time.Second, Priority: 1})
	if got, want := fmt.Sprint(n.pendingEvents), fmt.Sprint([]broker.Event{broker.AttemptEnded{Attempt: two, Status: control.AtCapacity}}); got != want {
		t.Fatalf("told: %s, want %s", got, want)
	}
}

// A deployment may let a connection take one attempt only. An engine still gets as many at once as it is sent.
func TestAttemptsWithOneStreamPerConnection(t *testing.T) {
	e := newFakeEngine(t)
	s := startConfigured(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) { c.Settings.MaxStreams = 1 },
		endpointJSON("e1", e.addr, "in_service", 0))
	const clients = 2 * defaultConnsPerEngine
	conns := map[net.Conn]bool{}
	for i := range clients {
		s.connect(statement("lookup", i+1, longTimeout, ""))
	}
	for range clients {
		conns[e.expect(t, "want").conn] = true
	}
	if len(conns) != clients {
		t.Fatalf("%d attempts on %d connections", clients, len(conns))
	}
}

// A connection is closed from here as a request is on its way to the goroutine that writes: what is said never to have left,
// and may be sent elsewhere for that, does not leave any more. What has begun to leave counts as that.
func TestClosedConnectionSendsNothing(t *testing.T) {
	n, l, far := newIdleServer(t)
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	ask := func(a broker.AttemptID) {
		n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: fmt.Sprint(a.Request), Class: "once", Timeout: time.Second, Priority: 1})
	}
	ask(one)
	first := int(l.queuedBytes)
	l.nextBytes() // it is being written as the connection is closed
	ask(two)
	n.pool.closeConnections("e1", 0)
	want := fmt.Sprint([]broker.Event{broker.AttemptEnded{Attempt: one, Status: control.ConnectionReset}, broker.AttemptEnded{Attempt: two, Status: control.ConnectFailed, SharedCause: true}})
	if got := fmt.Sprint(n.pendingEvents); got != want {
		t.Errorf("told: %s, want %s", got, want)
	}
	l.closeAfterSent(&endError{Reason: Shutdown}) // the goroutine that writes comes to it ahead of the close
	go l.writeLoop(t.Context())
	if all, _ := io.ReadAll(far); len(all) != first {
		t.Errorf("the engine got %q", all)
	}
}
