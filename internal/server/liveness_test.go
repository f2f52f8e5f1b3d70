package server

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
)

// An engine whose machine vanished, or that stops answering for good, leaves its connection open and silent. Once
// the answer of what is out there is due, the module calls it off, and the connection is asked whether it is alive;
// if it says nothing, it is closed, and the attempt goes to a new connection. One that answers is kept.
func TestSilentEngineConnectionIsReplaced(t *testing.T) {
	for name, alive := range map[string]bool{"alive": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startConfigured(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) {
				c.Settings.Control.Limits.LoadProbes = true
			}, endpointJSON("e1", e.addr, "in_service", 0))
			e.answeredCommand = "busy"
			a := s.connect(statement("load", 1, longTimeout, ""))
			kept := e.expect(t, "want")
			// Both are due by the same patience, and either may come first.
			called, asked := receive(t, e.messages, "the word"), receive(t, e.messages, "the question")
			if called.words[0] == "there" {
				called, asked = asked, called
			}
			if called.words[0] != "never_mind" || called.requestID() != kept.requestID() || asked.words[0] != "there" {
				t.Fatalf("engine got %q and %q", called.words, asked.words)
			}
			if alive {
				asked.reply(asked.requestID(), "UP", "-", "")
			} else {
				receive(t, e.closed, "the end of the silent connection")
			}
			w := e.expect(t, "want")
			if w.requestID() != kept.requestID() || w.conn == kept.conn {
				t.Fatal("what was called off was not sent again on a new connection")
			}
			w.reply(w.requestID(), "OK", "sheets=1", "x\ty\tz\n")
			a.expect("rows x|y|z|")
			if alive {
				b := s.connect(statement("load", 3, longTimeout, ""))
				w := e.expect(t, "want")
				w.reply(w.requestID(), "OK", "sheets=1", "x\ty\tz\n")
				b.expect("rows x|y|z|")
				return
			}
			if got := s.endReasons(e.addr); got != string(Retired) {
				t.Fatalf("it ended as %s", got)
			}
		})
	}
}

// Where the settings forbid probes, no engine is asked whether it is alive: a connection that is doubted takes nothing
// new and ends with the last that is out on it.
func TestNoLivenessProbeWithoutLoadProbes(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, silenceThreshold+200*time.Millisecond, ""))
	first := e.expect(t, "want")
	a.expect("1226")
	e.expect(t, "never_mind")
	receive(t, e.closed, "the end of the silent connection")
	if got := s.endReasons(e.addr); got != string(Retired) {
		t.Fatalf("it ended as %s", got)
	}
	b := s.connect(statement("lookup", 2, longTimeout, ""))
	w := e.expect(t, "want") // and no "there"
	if w.conn == first.conn {
		t.Fatal("the silent connection was used again")
	}
	w.reply(w.requestID(), "OK", "-", "")
	b.expect("rows ")
}

// A connection that was asked and says nothing is closed with attempts out on it only where second copies are allowed: an
// engine that is cut off does not hear of the close and goes on.
func TestSilentConnectionClosesOnlyWithHedging(t *testing.T) {
	for _, c := range []struct{ probes, copies, closed bool }{
		{true, true, true}, {true, false, false}, {false, true, false}, {false, false, false},
	} {
		n, l, _ := newIdleServer(t)
		limits := &n.cfg.Settings.Control.Limits
		limits.LoadProbes, limits.Hedging = c.probes, c.copies
		a := broker.AttemptID{Request: 1}
		n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: "1", Class: "lookup", Timeout: time.Minute, Priority: 1})
		l.markSent(int(l.queuedBytes)) // all of it has left
		up := n.pool.connsByEngine["e1"][0]
		up.lastReceived, up.suspectSince = time.Now().Add(-time.Minute), time.Now().Add(-2*livenessTimeout)
		n.pool.checkLiveness()
		if up.closed != c.closed || (len(n.pendingEvents) > 0) != c.closed {
			t.Errorf("%+v: closed %v, told %v", c, up.closed, n.pendingEvents)
		}
		n.pool.withdrawAttempt(a) // it has left, so it stays out
		if over := len(n.pool.inFlight) == 0; over != c.closed {
			t.Errorf("%+v: the attempt is over: %v", c, over)
		}
	}
}

// A connection is asked whether it is alive only once an answer on it is due and nothing came for long; a long
// query that is out costs its engine no probe while its answer is not due. Guards against the probe that every
// broker of a fleet sent every half second on each connection with a route report out.
func TestJudgeLiveness(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	var never time.Time
	for _, c := range []struct {
		name                string
		now, heard, doubted time.Time
		due                 time.Time
		want                livenessVerdict
	}{
		{"nothing is out", ms(5000), ms(0), never, never, livenessUnchanged},
		{"silent, nothing due yet", ms(1900), ms(0), never, ms(2000), livenessUnchanged},
		{"silent, and due", ms(2100), ms(0), never, ms(2000), livenessSuspected},
		{"due, but heard of late", ms(2100), ms(1700), never, ms(2000), livenessUnchanged},
		{"due, heard just over the silence before", ms(2100), ms(1500), never, ms(2000), livenessSuspected},
		{"asked, and a word came", ms(2200), ms(2150), ms(2100), ms(2000), livenessConfirmed},
		{"asked, no word yet", ms(2300), ms(0), ms(2100), ms(2000), livenessUnchanged},
		{"asked, no word in time", ms(2400), ms(0), ms(2100), ms(2000), livenessLost},
		{"asked, nothing is out any more", ms(2400), ms(0), ms(2100), never, livenessLost},
	} {
		if got := judgeLiveness(c.now, c.heard, c.doubted, c.due); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The first answer due on a connection is the earliest of what is out there, each waited for at least the silence
// that makes a connection doubtful.
func TestFirstOverdueAt(t *testing.T) {
	at := time.Unix(1000, 0)
	c := &engineConn{streams: map[string]*stream{
		"a": {startedAt: at, overdueAfter: 3 * time.Second},
		"b": {startedAt: at.Add(time.Second), overdueAfter: silenceThreshold},
	}}
	if diff := cmp.Diff(at.Add(time.Second+silenceThreshold), c.firstOverdueAt()); diff != "" {
		t.Fatal(diff)
	}
	if got := (&engineConn{}).firstOverdueAt(); !got.IsZero() {
		t.Fatalf("nothing out is due at %v", got)
	}
}
