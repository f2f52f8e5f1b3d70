package server

import (
	"errors"
	"runtime"
	"syscall"
	"testing"

	"wheatlane/internal/broker"
	"wheatlane/internal/socktest"
)

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
			s.loop.apply(broker.Kill{
				RequestedBy: broker.Session(other.session), Target: broker.Session(c.session), CloseConnection: true,
			})
		},
		"shutdown": func(s *Server, _, _ *testClient) { s.closeSessions() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, inService("e1", e))
			c, other := s.connect(), s.connect()
			c.ping()
			other.ping()
			held := PauseLoop(t, s.server)
			s.server.loop.inbox <- func() {
				closeSession(s.server, c, other)
				for range 100_000 { // the writer has every chance to end the connection too early
					runtime.Gosched()
				}
			}
			c.query(statement("lookup", 1, longTimeout, ""))
			held.WaitForEvents(2)
			held.Resume()
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

// A shutdown waits for a request of which a part has come.
func TestShutdownWaitsForABegunRequest(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect()
	c.ping()
	request := queryPacket(statement("lookup", 1, longTimeout, ""))
	c.send(request[:10])
	s.endAcceptWindow()
	socktest.WaitUntil(t, "the listener is closed", func() bool {
		return inLoop(s, func(server *Server) bool { return server.frontend.ListenerClosed() })
	})
	c.send(request[10:])
	e.expectAttempt(t).replyOK()
	c.expect("rows ", "closed")
	s.waitForEnd()
}
