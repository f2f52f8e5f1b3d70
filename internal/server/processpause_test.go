package server

import (
	"testing"
	"time"

	"wheatlane/internal/server/clock"
)

// Of several messages returned by one read, only the last is as recent as the newest bytes. The earlier ones may have
// arrived during a process pause, or while their reader waited for the loop, so their timeouts count from before it.
func TestProcessPauseCountsForEarlierMessagesOfARead(t *testing.T) {
	const pauseDuration = 2 * time.Second
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect()
	c.ping()
	since := inLoop(s, func(server *Server) time.Duration {
		since := clock.Now() - pauseDuration
		server.pauses.RecordIteration(since)
		server.pauses.RecordIteration(clock.Now() + time.Hour) // bytes read next may have arrived during the pause
		return since
	})
	lookups := queryPacket(statement("lookup", 1, longTimeout, ""))
	c.send(append(lookups, queryPacket(statement("lookup", 2, longTimeout, ""))...))
	first := e.expectAttempt(t)
	deadline := inLoop(s, func(server *Server) time.Duration { return clock.Now() + sentTimeout(t, first) })
	if limit := since + longTimeout + time.Second; deadline > limit {
		t.Errorf("deadline of the first request is %v after its limit", deadline-limit)
	}
	first.replyOK()
	second := e.expectAttempt(t)
	if sent := sentTimeout(t, second); sent < longTimeout-pauseDuration {
		t.Errorf("timeout of the second request is %v, want at least %v", sent, longTimeout-pauseDuration)
	}
	second.replyOK()
	c.expect("rows ", "rows ")
}
