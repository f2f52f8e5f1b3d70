package server

import (
	"fmt"
	"testing"

	"wheatlane/internal/socktest"
)

// During an upgrade KILL QUERY reached the process without the request, which answered 1094, and the request ran on. It
// ends the request, whichever process receives it; KILL ends the connection too.
func TestKillReachesOtherProcessOfUpgrade(t *testing.T) {
	dir, engine := t.TempDir(), newFakeEngine(t)
	endpoint := endpointJSON("e1", engine.addr, "in_service", 0)
	previous, next := startServerIn(t, dir, endpoint), startServerIn(t, dir, endpoint)
	for i, direction := range []struct{ holder, receiver *testServer }{{previous, next}, {next, previous}} {
		client := direction.holder.connect(statement("lookup", 2*i+1, longTimeout, ""))
		attempt := engine.expectAttempt(t)
		killer := direction.receiver.connect(fmt.Sprintf("KILL QUERY %d", client.session))
		killer.expect("ok")
		client.expect("1317")
		engine.expectCancel(t, attempt)
		client.query(statement("lookup", 2*i+2, longTimeout, ""))
		attempt = engine.expectAttempt(t)
		killer.query(fmt.Sprintf("KILL %d", client.session))
		killer.expect("ok")
		client.expect("1317", "closed")
		engine.expectCancel(t, attempt)
		killer.query(fmt.Sprintf("KILL QUERY %d", client.session))
		killer.expect("1094") // no process knows it
	}
}

// Both processes gave their first sessions the same id: a KILL that reached the wrong process ended a foreign query.
func TestKillEndsNoForeignQuery(t *testing.T) {
	dir, engine := t.TempDir(), newFakeEngine(t)
	endpoint := endpointJSON("e1", engine.addr, "in_service", 0)
	previous, next := startServerIn(t, dir, endpoint), startServerIn(t, dir, endpoint)
	client := previous.connect(statement("lookup", 1, longTimeout, ""))
	engine.expectAttempt(t)
	foreign := next.connect(statement("lookup", 2, longTimeout, ""))
	attempt := engine.expectAttempt(t)
	if client.session == foreign.session {
		t.Errorf("both processes have a session %d", client.session)
	}
	next.connect(fmt.Sprintf("KILL QUERY %d", client.session)).expect("ok")
	client.expect("1317")
	attempt.replyRows("a\tb\tc\n")
	foreign.expect("rows a|b|c|")
}

// A KILL for a session of a process that has ended is answered 1094, and one while a process starts ends the request.
func TestKillWhileProcessesComeAndGo(t *testing.T) {
	dir, engine := t.TempDir(), newFakeEngine(t)
	endpoint := endpointJSON("e1", engine.addr, "in_service", 0)
	previous := startServerIn(t, dir, endpoint)
	client := previous.connect(statement("lookup", 1, longTimeout, ""))
	attempt := engine.expectAttempt(t)
	next := startServerIn(t, dir, endpoint)
	killer := next.connect(fmt.Sprintf("KILL QUERY %d", client.session)) // the first bytes that it receives
	killer.expect("ok")
	client.expect("1317")
	engine.expectCancel(t, attempt)
	client.query(statement("lookup", 2, longTimeout, ""))
	attempt = engine.expectAttempt(t)
	previous.endAcceptWindow()
	socktest.WaitUntil(t, "the previous process shuts down", func() bool {
		return inLoop(previous, func(server *Server) bool { return server.shutdown.requested() })
	})
	killer.query(fmt.Sprintf("KILL QUERY %d", client.session))
	killer.expect("ok")
	client.expect("1317")
	engine.expectCancel(t, attempt)
	client.close()
	previous.waitForEnd()
	killer.query(fmt.Sprintf("KILL QUERY %d", client.session))
	killer.expect("1094")
}
