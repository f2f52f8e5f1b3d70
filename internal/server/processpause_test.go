package server

import (
	"testing"
	"time"

	"wheatlane/internal/server/clock"
)

// Of several messages that are read at once only the last is as young as the newest bytes. The others may have come
// while this process stood still, or while their reader waited for the loop.
func TestOlderMessagesOfOneRead(t *testing.T) {
	const stoodStill = 2 * time.Second
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect()
	c.ping()
	since := inLoop(s, func(server *Server) time.Duration {
		since := clock.Now() - stoodStill
		server.pauses.RecordIteration(since)
		server.pauses.RecordIteration(clock.Now() + time.Hour) // whatever is read next may have come within it
		return since
	})
	lookups := queryPacket(statement("lookup", 1, longTimeout, ""))
	c.send(append(lookups, queryPacket(statement("lookup", 2, longTimeout, ""))...))
	first := e.expectAttempt(t)
	deadline := inLoop(s, func(server *Server) time.Duration { return clock.Now() + sentTimeout(t, first) })
	if limit := since + longTimeout + time.Second; deadline > limit {
		t.Errorf("the first request has until %v after its limit", deadline-limit)
	}
	first.replyOK()
	second := e.expectAttempt(t)
	if sent := sentTimeout(t, second); sent < longTimeout-stoodStill {
		t.Errorf("the second request has %v only", sent)
	}
	second.replyOK()
	c.expect("rows ", "rows ")
}
