package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
)

// SIGTERM: requests go on coming for a while, what was taken is finished, and then the broker ends well.
func TestGracefulShutdown(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expect(t, "want")
	close(s.stopSignal)
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	second := e.expect(t, "want")
	for _, w := range []engineMessage{first, second} {
		w.reply(w.requestID(), "OK", "-", "")
	}
	a.expect("rows ")
	b.expect("rows ")
	err := receive(t, s.ended, "the broker's end")
	if err != nil {
		t.Fatal(err)
	}
	s.ended <- err // for the clean-up
}

// SIGTERM: connections that the system or the program has taken and the reducer has not heard of, as it stood still
// until its time for new requests was over, get their answers ahead of the exit.
func TestReceivedRequestsAreAnsweredBeforeExit(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	hold, held := make(chan struct{}), make(chan struct{})
	s.server.inbox <- func() { close(held); <-hold }
	receive(t, held, "the standstill")
	const clients = 5
	var nets []*testClient
	for i := range clients {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		if _, err := nc.Write(append(loginPacket("app"), packetBytes(0, "\x03"+statement("lookup", i+1, longTimeout, ""))...)); err != nil {
			t.Fatal(err)
		}
		nets = append(nets, newTestClient(t, nc))
	}
	s.server.inbox <- func() {
		s.server.beginShutdown()
		s.server.shutdown.requestedAt = time.Now().Add(-s.server.shutdown.acceptWindow)
	}
	close(hold)
	for range nets {
		w := e.expect(t, "want")
		w.reply(w.requestID(), "OK", "-", "")
	}
	for _, c := range nets {
		c.readPacket() // the greeting
		c.expect("ok")
		c.expect("rows ")
		c.expect("closed")
	}
	err := receive(t, s.ended, "the broker's end")
	s.ended <- err // for the clean-up
	if err != nil {
		t.Fatal(err)
	}
}

// The time until the last answers follows the deadlines in force: after a reload to shorter ones SIGKILL comes sooner.
func TestShutdownFollowsTimeoutsInForce(t *testing.T) {
	s := startServer(t)
	got := inLoop(s, func(n *Server) time.Duration {
		n.cfg.Settings.Control.Classes = []control.Class{{Name: "lookup", ClientTimeout: 400 * time.Millisecond}}
		n.beginShutdown()
		return n.shutdown.answerWithin
	})
	if want := 400*time.Millisecond + shutdownExtra - finalAnswerMargin; got != want {
		t.Fatalf("what is left is answered after %v, want %v", got, want)
	}
	s.ended <- receive(t, s.ended, "the broker's end")
	if line := s.logs.FilterMessage("stopping").All(); len(line) != 1 || !strings.Contains(fmt.Sprint(line[0].ContextMap()["within"]), "850ms") {
		t.Fatalf("the log says %v", line)
	}
}

// A client that rests until the broker ends it may ask in the very moment of the shutdown. What is read after that is not
// sent on: no answer could leave any more.
func TestNothingIsForwardedAfterShutdown(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
	s.server.inbox <- func() {
		s.server.beginShutdown()
		s.server.shutdown.requestedAt = time.Now().Add(-s.server.shutdown.acceptWindow)
	}
	c.expect("closed")
	c.query(statement("lookup", 2, longTimeout, ""))
	err := receive(t, s.ended, "the broker's end")
	s.ended <- err // for the clean-up
	if err != nil {
		t.Fatal(err)
	}
	receive(t, e.closed, "the end of the connection to the engine")
	for len(e.messages) > 0 {
		t.Errorf("the engine got %q", (<-e.messages).words)
	}
}
