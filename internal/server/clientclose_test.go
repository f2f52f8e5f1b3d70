package server

import (
	"net"
	"runtime"
	"testing"

	"wheatlane/internal/broker"
	"wheatlane/internal/socktest"
)

// expectUnread expects that the broker has closed the connection with bytes unread: the kernel then resets the
// connection, although the client sends nothing more.
func (c *testClient) expectUnread() {
	c.t.Helper()
	socktest.WaitUntilReset(c.t, c.socket.(*net.TCPConn))
}

// A session is killed, or closed by a shutdown, while a request read from it is on its way to the reducer. The request
// is rejected, and the rejection is sent before the connection ends.
func TestRequestReadDuringSessionCloseIsRejected(t *testing.T) {
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
			loop := PauseLoop(t, s.server)
			s.server.loop.inbox <- func() {
				closeSession(s.server, c, other)
				for range 100_000 { // let the writer end the connection too early
					runtime.Gosched()
				}
			}
			c.query(statement("lookup", 1, longTimeout, ""))
			loop.WaitForEvents(2)
			loop.Resume()
			c.expect("1226", "closed")
			if len(e.messages) > 0 {
				t.Errorf("engine received %q, want no message", (<-e.messages).words)
			}
		})
	}
}

// A request that races with the close of an idle connection stays unread.
func TestRequestThatCrossesTheEndStaysUnread(t *testing.T) {
	s := startServer(t)
	c := s.connect()
	c.send(packetBytes(0, mysqlPing))
	c.expect("1053") // no engine
	s.endAcceptWindow()
	c.expect("closed")
	c.query(statement("lookup", 1, longTimeout, ""))
	s.waitForEnd()
	c.expectUnread()
	if lines := s.logs.FilterMessage("invariant violated").All(); len(lines) > 0 {
		t.Errorf("invariant violations logged: %v", lines)
	}
}

// A shutdown waits for the remainder of a partially received request.
func TestShutdownWaitsForPartialRequest(t *testing.T) {
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
