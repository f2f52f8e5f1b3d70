package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Rule 1: a request gets its one whole answer, also where login and query come ahead of the greeting and the
// result has several pages, which come in any order. What the engine is asked is what the client sent.
func TestRequestIsServed(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 7, longTimeout, ""))
	w := e.expect(t, "want")
	if w.requestID() != "0000000000000007" || w.words[3] != "SELECT a FROM s_1.t" || !strings.HasPrefix(w.words[2], "sort=lookup,patience=1") ||
		!strings.Contains(w.words[2], ",op=op7") {
		t.Fatalf("engine got %q", w.words)
	}
	w.reply(w.requestID(), "OK", "sheets=3,toil=5,room=1", "1\t2\t3\n")
	for range 2 {
		e.expect(t, "turn")
	}
	w.reply(w.requestID(), "ROWS", "sheet=2", "7\t8\t9\n")
	w.reply(w.requestID(), "ROWS", "sheet=1", "4\t\t6\n")
	c.expect("rows 1|2|3|4||6|7|8|9|")
	c.socket.Write(packetBytes(0, "\x0e"))
	c.expect("ok")
}

// Rule 1: what no engine answers is refused before the client gives up.
func TestSilentEngineLeadsToRejectionInTime(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, 300*time.Millisecond, ""))
	w := e.expect(t, "want")
	c.expect("1226")
	if m := e.expect(t, "never_mind"); m.requestID() != w.requestID() {
		t.Fatalf("called off %s", m.requestID())
	}
}

// Rule 2: a repeat or a refusal only where it can do no harm, by what proves that nothing ran.
func TestRetryOnlyWhereHarmless(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		end   func(w engineMessage)
		again bool // another attempt follows
		want  string
	}{
		"busy never ran":          {"once", func(w engineMessage) { w.reply(w.requestID(), "BUSY", "-", "") }, true, "rows "},
		"an error may have run":   {"once", func(w engineMessage) { w.reply(w.requestID(), "ERR", "-", "") }, false, "1105"},
		"a reset may have run":    {"once", func(w engineMessage) { w.conn.Close() }, false, "1105"},
		"bad bytes may have run":  {"once", func(w engineMessage) { w.conn.Write([]byte("?")) }, false, "1105"},
		"a reset, keyed":          {"load", func(w engineMessage) { w.conn.Close() }, true, "rows "},
		"an error, and may again": {"lookup", func(w engineMessage) { w.reply(w.requestID(), "ERR", "-", "") }, true, "rows "},
	} {
		t.Run(name, func(t *testing.T) {
			e, o := newFakeEngine(t), newFakeEngine(t)
			s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0), endpointJSON("e2", o.addr, "in_service", 0))
			got := make(chan engineMessage)
			for _, x := range []*fakeEngine{e, o} {
				go func() {
					for m := range x.messages {
						got <- m
					}
				}()
			}
			client := s.connect(statement(c.class, 1, time.Second, ""))
			first := receive(t, got, "an attempt")
			c.end(first)
			if c.again {
				w := receive(t, got, "another attempt")
				if w.requestID() != first.requestID() || !strings.Contains(w.words[2], "op=op1") {
					t.Fatalf("got %q", w.words)
				}
				w.reply(w.requestID(), "OK", "-", "")
			}
			client.expect(c.want)
			select {
			case m := <-got:
				t.Fatalf("more came: %q", m.words)
			default:
			}
		})
	}
}

// Rule 2: a refused connect proves that nothing ran, so a refusal is true.
func TestRefusedConnectLeadsToRejection(t *testing.T) {
	e := newFakeEngine(t)
	e.listener.Close()
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	s.connect(statement("once", 1, 300*time.Millisecond, "")).expect("1226")
}

// Rule 3: an engine that drains gets nothing new; one that is gone loses its connections, and so does one
// whose address passes to another.
func TestEngineDrainsAndIsRemoved(t *testing.T) {
	e, o := newFakeEngine(t), newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "terminating", 0), endpointJSON("e2", o.addr, "in_service", 0)), 2)
	for i := range 5 {
		c := s.connect(statement("lookup", 10+i, longTimeout, ""))
		m := o.expect(t, "want")
		m.reply(m.requestID(), "OK", "-", "")
		c.expect("rows ")
	}
	w.reply(w.requestID(), "OK", "-", "x\ty\tz\n") // what it holds it may finish
	a.expect("rows x|y|z|")
	s.publish(pageJSON(3, false, endpointJSON("e3", e.addr, "in_service", 0)), 3)
	receive(t, e.closed, "the end of the old engine's connection")
	b := s.connect(statement("lookup", 20, longTimeout, ""))
	var m engineMessage
	select {
	case m = <-e.messages:
	case m = <-o.messages:
	}
	s.publish(pageJSON(4, false, endpointJSON("e2", o.addr, "terminated", 0), endpointJSON("e3", e.addr, "terminated", 0), endpointJSON("e4", e.addr, "in_service", 0)), 4)
	w = e.expect(t, "want") // its attempt was lost with the engine, and is made again
	if w.requestID() != m.requestID() {
		t.Fatalf("got %q", w.words)
	}
	w.reply(w.requestID(), "OK", "-", "")
	b.expect("rows ")
}

// Rule 4: a newly started engine is sent no more than the module's budget for it, however many wait.
func TestSlowStartLimitsNewEngine(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", time.Now().UnixMilli()))
	const clients = 100
	var all []*testClient
	for range clients {
		all = append(all, s.connect())
	}
	for i, c := range all {
		c.query(statement("lookup", i, 500*time.Millisecond, ""))
	}
	for _, c := range all {
		c.expect("1226")
	}
	wants := 0
	for len(e.messages) > 0 {
		if m := <-e.messages; m.words[0] == "want" {
			wants++
		}
	}
	// 2.5 times a third of 8 cores, 85% of them busy, for a second; the module takes a lookup for 0.1 s.
	if most := 56; wants == 0 || wants > most {
		t.Fatalf("%d were sent, %d at the most", wants, most)
	}
}

// Rule 5: requests of one key run one at a time and in order, on whichever connections they come.
func TestOneInFlightPerOrderKey(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	const key = "7f3a9c21e0b4d655"
	a := s.connect(statement("load", 1, longTimeout, key))
	first := e.expect(t, "want")
	b := s.connect(statement("load", 2, longTimeout, key))
	c := s.connect(statement("lookup", 3, longTimeout, "")) // taken after it, and sent: the one before waits
	other := e.expect(t, "want")
	if other.requestID() != fmt.Sprintf("%016x", 3) {
		t.Fatalf("%s was sent while its key was busy", other.requestID())
	}
	other.reply(other.requestID(), "OK", "-", "")
	c.expect("rows ")
	first.reply(first.requestID(), "OK", "-", "")
	a.expect("rows ")
	second := e.expect(t, "want")
	second.reply(second.requestID(), "OK", "-", "")
	b.expect("rows ")
}

// What a broker spent of what its fleet shares is in its log, whenever it ends: one request, its attempt, the one
// connection it took, and the calls to the change log, which differ from run to run and are only there.
func TestUsageIsLogged(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	a.expect("rows ")
	close(s.stopSignal)
	err := receive(t, s.ended, "the broker's end")
	s.ended <- err // for the clean-up
	got := map[string]uint64{}
	for _, line := range s.logs.FilterMessage("costs").All() {
		for name, v := range line.ContextMap() {
			got[name] += v.(uint64)
		}
	}
	if got["polls"] == 0 {
		t.Fatal("no call to the change log was counted")
	}
	delete(got, "polls")
	if diff := cmp.Diff(map[string]uint64{
		"taken": 1, "first": 1, "further": 0, "refused": 0, "probes": 0, "doubts": 0,
		"dials": 1, "tells": 0,
	}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The list tells of an engine's restart late. A connection to the process before it is closed and what was out there is
// made again; one that was begun since is to the new process, and what is under way on it goes on.
func TestLateNoticeOfEngineRestart(t *testing.T) {
	for name, c := range map[string]struct {
		born time.Duration // after the connection came up
		kept bool
	}{"restarted since": {10 * time.Millisecond, false}, "restarted before": {-time.Minute, true}} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
			a := s.connect(statement("lookup", 1, longTimeout, ""))
			w := e.expect(t, "want")
			s.publish(pageJSON(2, false, endpointJSON("e1", e.addr, "in_service", time.Now().Add(c.born).UnixMilli())), 2)
			if !c.kept {
				receive(t, e.closed, "the end of the old process's connection")
				w = e.expect(t, "want")
			}
			w.reply(w.requestID(), "OK", "-", "x\ty\tz\n")
			a.expect("rows x|y|z|")
			if conns := inLoop(s, func(n *Server) int { return n.pool.connCount }); conns != 1 || len(e.messages)+len(e.closed) > 0 {
				t.Fatalf("%d connections, %d more messages and %d more ends", conns, len(e.messages), len(e.closed))
			}
		})
	}
}
