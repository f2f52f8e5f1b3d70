package server

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
)

// A client that is rejected for want of sockets gets its answer and an orderly end, though it has written
// already and nobody has read that.
func TestRejectionSurvivesUnreadBytes(t *testing.T) {
	near, far := connectedPair(t)
	c := newTestClient(t, far)
	c.send(append(loginPacket("app"), queryPacket(statement("lookup", 1, longTimeout, ""))...))
	s, ended := &Server{rejectSlots: make(chan struct{}, 1), group: &errgroup.Group{}}, make(chan struct{})
	s.rejectConnection(near, func() { close(ended) })
	c.expect("1040", "closed")
	receive(t, ended, "the end of the connection")
	c.expectUnread()
}

// With too many rejected clients that have not read their answers, the next one is closed at once.
func TestRejectionWithoutASlotClosesAtOnce(t *testing.T) {
	near, _ := connectedPair(t)
	ended := false
	(&Server{rejectSlots: make(chan struct{})}).rejectConnection(near, func() { ended = true })
	if _, err := near.Write([]byte("x")); !ended || !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended %v, a write gives %v", ended, err)
	}
}

// expectUnread expects that the broker has closed the connection over bytes that it had not read: the connection was
// reset, so that it takes no more.
func (c *testClient) expectUnread() {
	c.t.Helper()
	if _, err := c.socket.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		c.t.Errorf("the connection takes bytes: %v", err)
	}
}

// A session is killed, or closed by a shutdown, while a request that was read on it is on its way to the reducer:
// the request is rejected, and that leaves before the end of the connection.
func TestRequestReadAsItsSessionCloses(t *testing.T) {
	for name, closeSession := range map[string]func(s *Server, c, other *testClient){
		"killed": func(s *Server, c, other *testClient) {
			s.apply(broker.Kill{
				RequestedBy: broker.Session(other.session), Target: broker.Session(c.session), CloseConnection: true,
			})
		},
		"shutdown": func(s *Server, _, _ *testClient) { s.closeSessions() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, listed("e1", e))
			c, other := s.connect(), s.connect()
			c.ping()
			other.ping()
			held := HoldLoop(t, s.server)
			s.server.inbox <- func() {
				client := s.server.clients[broker.Session(c.session)]
				closeSession(s.server, c, other)
				for range 100_000 { // the writer has every chance to end the connection too early
					if client.conn.FinishedFor() != nil {
						return
					}
					runtime.Gosched()
				}
			}
			c.query(statement("lookup", 1, longTimeout, ""))
			held.WaitForEvents(2)
			held.Release()
			c.expect("1226", "closed")
			if len(e.messages) > 0 {
				t.Errorf("the engine got %q", (<-e.messages).words)
			}
		})
	}
}

// A request that crosses the end of an idle connection stays unread.
func TestRequestThatCrossesTheEndStaysUnread(t *testing.T) {
	s := startServer(t)
	c := s.connect()
	c.send(packetBytes(0, mysqlPing))
	c.expect("1053") // there is no engine
	s.endAcceptWindow()
	c.expect("closed")
	c.query(statement("lookup", 1, longTimeout, ""))
	s.waitForEnd()
	c.expectUnread()
	if lines := s.logs.FilterMessage("invariant violated").All(); len(lines) > 0 {
		t.Errorf("the broker logs %v", lines)
	}
}

// What came while the process stood still is read before a timeout that passed meanwhile is judged.
func TestBytesThatCameInAStandstillAreRead(t *testing.T) {
	near, far := connectedPair(t)
	c := newClient(&Server{}, 1, near)
	c.readDeadline = time.Now()
	if err := near.SetReadDeadline(c.readDeadline); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write(loginPacket("app")); err != nil {
		t.Fatal(err)
	}
	for c.conn.Received.Len() == 0 {
		if _, err := c.receive(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// A shutdown waits for a request of which a part has come.
func TestShutdownWaitsForABegunRequest(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, listed("e1", e))
	c := s.connect()
	c.ping()
	request := queryPacket(statement("lookup", 1, longTimeout, ""))
	c.send(request[:10])
	waitUntil(t, "the part was read", func() bool {
		return inLoop(s, func(server *Server) bool {
			begun := false
			for _, client := range server.clients {
				begun = begun || client.begun.Load()
			}
			return begun
		})
	})
	s.endAcceptWindow()
	waitUntil(t, "the listener is closed", func() bool {
		return inLoop(s, func(server *Server) bool { return server.shutdown.listenerClosed })
	})
	c.send(request[10:])
	e.expectAttempt(t).replyOK()
	c.expect("rows ", "closed")
	s.waitForEnd()
}
