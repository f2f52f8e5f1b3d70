package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// drainMeter records what the meter is notified of drains.
type drainMeter struct {
	nopMeter
	events *[]string
}

func (m drainMeter) DrainStarted() { *m.events = append(*m.events, "started") }
func (m drainMeter) DrainCompleted(took time.Duration) {
	*m.events = append(*m.events, fmt.Sprintf("completed, some bytes left late: %v", took > 0))
}

// The time of a drain is that of the last bytes from before it. What a connection that closes leaves unsent is not
// waited for, and a drain is measured once until its engine is used again.
func TestDrainIsMeasured(t *testing.T) {
	const started, completed, late = "started", "completed, some bytes left late: false",
		"completed, some bytes left late: true"
	for name, tt := range map[string]struct {
		act  func(s *Server, transport *netconn.Conn)
		want []string
	}{
		"nothing to send": {
			func(s *Server, _ *netconn.Conn) { s.pool.startDrain("e1") },
			[]string{started, completed},
		},
		"no connection": {
			func(s *Server, _ *netconn.Conn) { s.pool.startDrain("e2") },
			[]string{started, completed},
		},
		"bytes on their way": {
			func(s *Server, transport *netconn.Conn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				next := transport.NextBytes()
				s.pool.startDrain("e1")
				transport.MarkSent(len(next))
				(<-s.inbox)()
			},
			[]string{started, late},
		},
		"bytes still on their way": {
			func(s *Server, transport *netconn.Conn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				transport.NextBytes()
				s.pool.startDrain("e1")
			},
			[]string{started},
		},
		"connection closes": {
			func(s *Server, transport *netconn.Conn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				transport.NextBytes()
				s.pool.startDrain("e1")
				s.pool.closeConnections("e1", 0)
			},
			[]string{started, completed},
		},
		"listed twice": {
			func(s *Server, _ *netconn.Conn) {
				s.pool.startDrain("e1")
				s.pool.startDrain("e1")
			},
			[]string{started, completed},
		},
		"used in between": {
			func(s *Server, transport *netconn.Conn) {
				s.pool.startDrain("e1")
				startAttempt(s, firstAttempt, "lookup", time.Second)
				transport.MarkSent(len(transport.NextBytes()))
				s.pool.startDrain("e1")
			},
			[]string{started, completed, started, completed},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var events []string
			s, transport, _ := newIdleServer(t)
			s.ctx, s.inbox, s.meter = t.Context(), make(chan func(), 10), drainMeter{events: &events}
			tt.act(s, transport)
			if diff := cmp.Diff(tt.want, events); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A message that does not fit into the send queue has not left. A command that does not fit ends the connection: the
// engine would miss it.
func TestFullSendQueueOfAnEngine(t *testing.T) {
	fill := func(transport *netconn.Conn) {
		for size := maxEngineSendBytes; size > 0; {
			if _, err := transport.Write(make([]byte, size)); err != nil {
				size /= 2
			}
		}
	}
	for name, tt := range map[string]struct {
		act    func(s *Server, transport *netconn.Conn)
		status control.Status
		closed bool
	}{
		"attempt": {func(s *Server, transport *netconn.Conn) {
			fill(transport)
			startAttempt(s, firstAttempt, "lookup", time.Second)
		}, control.ConnectFailed, false},
		"command": {func(s *Server, transport *netconn.Conn) {
			startAttempt(s, firstAttempt, "lookup", time.Second)
			transport.MarkSent(len(transport.NextBytes()))
			fill(transport)
			s.pool.fetchPage(broker.FetchPage{Attempt: firstAttempt, Page: 1})
		}, control.ConnectionReset, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, transport, _ := newIdleServer(t)
			c := s.pool.connsByEngine["e1"][0]
			tt.act(s, transport)
			want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: tt.status}}
			if diff := cmp.Diff(want, s.pendingEvents); diff != "" {
				t.Error(diff)
			}
			if c.closed != tt.closed {
				t.Errorf("closed %v", c.closed)
			}
		})
	}
}

// An engine with as many connections as it may have, none of which takes more, has no capacity.
func TestConnectionsOfOneEngineAreBounded(t *testing.T) {
	s, _, _ := newIdleServer(t)
	c := s.pool.connsByEngine["e1"][0]
	c.closing = true
	for len(s.pool.connsByEngine["e1"]) < s.pool.maxConnsPerEngine() {
		s.pool.connsByEngine["e1"] = append(s.pool.connsByEngine["e1"], c)
	}
	startAttempt(s, firstAttempt, "lookup", time.Second)
	want := []broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.AtCapacity}}
	if diff := cmp.Diff(want, s.pendingEvents); diff != "" {
		t.Error(diff)
	}
}

// What the end of a connection proves of what was on it, by how far that had come.
func TestStreamsOfAnEndedConnection(t *testing.T) {
	sent := func(transport *netconn.Conn) { transport.MarkSent(len(transport.NextBytes())) }
	for name, tt := range map[string]struct {
		act  func(s *Server, c *engineConn)
		want []broker.Event
	}{
		"nothing of it has left": {
			func(s *Server, _ *engineConn) { startAttempt(s, firstAttempt, "lookup", time.Second) },
			[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectFailed}},
		},
		"nothing of it has left, for a fault of this machine": {
			func(s *Server, c *engineConn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				c.localFault = true
			},
			[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.NeverSent}},
		},
		"it has left": {
			func(s *Server, c *engineConn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				sent(c.transport)
			},
			[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset}},
		},
		"two have left": {
			func(s *Server, c *engineConn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				startAttempt(s, secondAttempt, "lookup", time.Second)
				sent(c.transport)
			},
			[]broker.Event{
				broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
				broker.AttemptEnded{Attempt: secondAttempt, Status: control.ConnectionReset, SharedCause: true},
			},
		},
		"it was cancelled": {
			func(s *Server, c *engineConn) {
				startAttempt(s, firstAttempt, "lookup", time.Second)
				sent(c.transport)
				s.pool.cancelAttempt(firstAttempt)
			},
			[]broker.Event{broker.AttemptEnded{Attempt: firstAttempt, Status: control.Cancelled}},
		},
		"a load probe ahead of an attempt": {
			func(s *Server, c *engineConn) {
				s.pool.startProbe(broker.ProbeLoad{ProbeID: 7, Engine: "e1", Addr: "a"})
				startAttempt(s, firstAttempt, "lookup", time.Second)
				sent(c.transport)
			},
			[]broker.Event{
				broker.ProbeResult{ProbeID: 7, Status: control.ConnectionReset},
				broker.AttemptEnded{Attempt: firstAttempt, Status: control.ConnectionReset},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newIdleServer(t)
			s.ctx, s.inbox = t.Context(), make(chan func(), 10)
			c := s.pool.connsByEngine["e1"][0]
			tt.act(s, c)
			s.pool.disconnected(c)
			s.pool.disconnected(c) // it ends once
			if diff := cmp.Diff(tt.want, s.pendingEvents); diff != "" {
				t.Error(diff)
			}
			if s.pool.connCount != 0 || len(s.pool.connsByEngine) != 0 || len(s.pool.inFlight) != 0 {
				t.Errorf("%d connections, %d attempts", s.pool.connCount, len(s.pool.inFlight))
			}
		})
	}
}

// A load probe without an answer leaves its connection, and its id is not used again there for a while.
func TestUnansweredProbeExpires(t *testing.T) {
	s, _, _ := newIdleServer(t)
	s.maxClientTimeoutNS.Store(int64(time.Minute))
	s.pool.startProbe(broker.ProbeLoad{ProbeID: 7, Engine: "e1", Addr: "a"})
	c := s.pool.connsByEngine["e1"][0]
	probe := c.streams["p7"]
	s.pool.sweep()
	if c.streams["p7"] == nil {
		t.Fatal("the probe expired at once")
	}
	probe.startedAt = probe.startedAt.Add(-probeExpiry)
	s.pool.sweep()
	if len(c.streams) != 0 || c.accepts("p7", "a", 1) {
		t.Errorf("%d streams, accepted %v", len(c.streams), c.accepts("p7", "a", 1))
	}
	if !c.accepts("p8", "a", 1) {
		t.Error("the connection takes no other probe")
	}
}

// A suspected connection is used again once something came on it.
func TestSuspectedConnectionRecovers(t *testing.T) {
	s, _, _ := newIdleServer(t)
	c := s.pool.connsByEngine["e1"][0]
	c.suspectSince = time.Now().Add(-time.Millisecond)
	if c.accepts("1", "a", 1) {
		t.Error("a suspected connection takes a stream")
	}
	c.lastReceived = time.Now()
	s.pool.checkLiveness()
	if !c.accepts("1", "a", 1) {
		t.Error("a connection on which something came takes no stream")
	}
}

// A message may leave until it is stale, or until its attempt has waited for as long as it may. A load probe may leave
// at any time.
func TestExpiryOfAMessage(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, tt := range map[string]struct {
		stream  stream
		waited  time.Duration
		expires time.Duration // after the start; 0: never
	}{
		"fresh":                     {stream{}, 0, staleAfter},
		"made anew":                 {stream{}, 150 * time.Millisecond, 150*time.Millisecond + staleAfter},
		"made anew, its time nigh":  {stream{}, 250 * time.Millisecond, maxDelay},
		"load probe, at any time":   {stream{probeID: 1}, 0, 0},
		"load probe that waits":     {stream{probeID: 1}, time.Minute, 0},
		"its time is over":          {stream{}, time.Second, maxDelay},
		"as long as it takes to go": {stream{}, maxDelay - staleAfter, maxDelay},
	} {
		t.Run(name, func(t *testing.T) {
			var want time.Time
			if tt.expires > 0 {
				want = start.Add(tt.expires)
			}
			tt.stream.startedAt = start
			if got := tt.stream.expiresAt(start.Add(tt.waited), maxDelay); !got.Equal(want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}
