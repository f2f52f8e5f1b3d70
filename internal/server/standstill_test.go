package server

import (
	"testing"
	"time"

	"wheatlane/internal/server/clock"
)

func TestStandstillWatch(t *testing.T) {
	const begin, stop = time.Hour, time.Second
	ms := func(n int) time.Duration { return begin + time.Duration(n)*time.Millisecond }
	for name, tt := range map[string]struct {
		turns            []time.Duration
		readAt, earliest time.Duration
	}{
		"no turn yet":                      {nil, ms(0), ms(0)},
		"no standstill":                    {[]time.Duration{ms(0), ms(20), ms(40)}, ms(45), ms(45)},
		"read before the loop's next turn": {[]time.Duration{ms(0)}, ms(1000), ms(0)},
		"read just after it":               {[]time.Duration{ms(0), ms(1000)}, ms(1001), ms(0)},
		"read long after it": {
			[]time.Duration{ms(0), ms(1000), ms(1040), ms(1080), ms(1120), ms(1160)}, ms(1200), ms(1200),
		},
	} {
		t.Run(name, func(t *testing.T) {
			var w standstillWatch
			for _, turn := range tt.turns {
				w.turn(turn)
			}
			if got := w.earliest(tt.readAt); got != tt.earliest {
				t.Errorf("earliest %v, want %v", got-begin, tt.earliest-begin)
			}
		})
	}
}

// Of several messages that are read at once only the last is as young as the newest bytes. The others may have come
// while this process stood still, or while their reader waited for the loop.
func TestOlderMessagesOfOneRead(t *testing.T) {
	const stoodStill = 2 * time.Second
	e := newFakeEngine(t)
	s := startServer(t, listed("e1", e))
	c := s.connect()
	c.ping()
	since := inLoop(s, func(server *Server) time.Duration {
		since := clock.Now() - stoodStill
		server.standstill.from.Store(int64(since))
		server.standstill.to.Store(int64(clock.Now() + time.Hour)) // whatever is read next may have come within it
		return since
	})
	c.send(append(queryPacket(statement("lookup", 1, longTimeout, "")), queryPacket(statement("lookup", 2, longTimeout, ""))...))
	first := e.expectAttempt(t)
	deadline := inLoop(s, func(server *Server) time.Duration { return clock.Now() + toldTimeout(t, first) })
	if limit := since + longTimeout + time.Second; deadline > limit {
		t.Errorf("the first request has until %v after its limit", deadline-limit)
	}
	first.replyOK()
	second := e.expectAttempt(t)
	if told := toldTimeout(t, second); told < longTimeout-stoodStill {
		t.Errorf("the second request has %v only", told)
	}
	second.replyOK()
	c.expect("rows ", "rows ")
}
