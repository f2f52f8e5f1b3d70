package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/socktest"
)

// After SIGTERM requests go on coming for a while, all that were accepted are answered, and then Run returns.
func TestGracefulShutdown(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expectAttempt(t)
	close(s.stopSignal)
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	second := e.expectAttempt(t)
	first.replyOK()
	second.replyOK()
	a.expect("rows ")
	b.expect("rows ")
	s.waitForEnd()
}

// Connections that the system or the program has accepted and that the loop does not know of, as it stood
// still until the time for new requests was over, get their answers before the exit.
func TestReceivedRequestsAreAnsweredBeforeExit(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	hold, held := make(chan struct{}), make(chan struct{})
	s.server.loop.inbox <- func() { close(held); <-hold }
	socktest.Receive(t, held, "the standstill")
	clients := make([]*testClient, 5)
	for i := range clients {
		clients[i] = s.dial()
		clients[i].send(append(loginPacket("app"), queryPacket(statement("lookup", i+1, longTimeout, ""))...))
	}
	s.endAcceptWindow()
	close(hold)
	for range clients {
		e.expectAttempt(t).replyOK()
	}
	for _, c := range clients {
		c.readPacket() // the greeting
		c.expect("ok", "rows ", "closed")
	}
	s.waitForEnd()
}

// The time until the final answers follows the client timeouts in force: after a reload to shorter ones
// SIGKILL comes sooner.
func TestShutdownFollowsTimeoutsInForce(t *testing.T) {
	s := startServer(t)
	got := inLoop(s, func(server *Server) time.Duration {
		class := control.Class{Name: "lookup", ClientTimeout: 400 * time.Millisecond}
		server.cfg.Settings.Control.Classes = []control.Class{class}
		server.beginShutdown()
		return server.shutdown.answerWithin
	})
	if want := 400*time.Millisecond + shutdownGrace - finalAnswerReserve; got != want {
		t.Fatalf("final answers come after %v, want %v", got, want)
	}
	s.waitForEnd()
	lines := s.logs.FilterMessage("stopping").All()
	if len(lines) != 1 || !strings.Contains(fmt.Sprint(lines[0].ContextMap()["within"]), "850ms") {
		t.Fatalf("the log says %v", lines)
	}
}

// An idle client may send a request in the very moment in which the broker ends its connection. What is
// read after that is not forwarded: no answer could leave any more.
func TestNothingIsForwardedAfterShutdown(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	e.expectAttempt(t).replyOK()
	c.expect("rows ")
	s.endAcceptWindow()
	c.expect("closed")
	c.query(statement("lookup", 2, longTimeout, ""))
	s.waitForEnd()
	socktest.Receive(t, e.closed, "the end of the connection to the engine")
	for len(e.messages) > 0 {
		t.Errorf("the engine got %q", (<-e.messages).words)
	}
}
