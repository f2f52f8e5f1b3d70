package server

import (
	"testing"

	"wheatlane/internal/resp"
)

// An answer that stops short on a connection that stays open costs all that is out there, and no more time than an
// answer may take to come. What is safe to repeat is, on another connection.
func TestPartialResponseTimeout(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a, b := s.connect(statement("load", 1, longTimeout, "")), s.connect(statement("load", 2, longTimeout, ""))
	first, second := e.expect(t, "want"), e.expect(t, "want")
	if first.conn != second.conn {
		t.Fatal("they are on two connections")
	}
	second.conn.Write(resp.Append(nil, second.requestID(), "OK", "sheets=1", "x\ty\tz\n")[:40])
	receive(t, e.closed, "the end of the connection")
	for range 2 {
		w := e.expect(t, "want")
		w.reply(w.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	}
	a.expect("rows x|y|z|")
	b.expect("rows x|y|z|")
	if got := s.endReasons(e.addr); got != string(Stalled) {
		t.Fatalf("it ended as %s", got)
	}
}

// A second copy of an answer, or one for an id that nobody knows, changes nothing; above all it is none for the
// next attempt of its request.
func TestDuplicateResponsesAreIgnored(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expect(t, "want")
	first.reply("00000000000000ff", "OK", "sheets=1", "no\tno\tno\n")
	first.reply(first.requestID(), "ERR", "-", "")
	again := e.expect(t, "want")
	first.reply(first.requestID(), "ERR", "-", "")
	first.reply(first.requestID(), "OK", "sheets=1", "no\tno\tno\n")
	again.reply(again.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	again.reply(again.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	c.expect("rows x|y|z|")
	c.socket.Write(packetBytes(0, "\x0e"))
	c.expect("ok") // no second answer came in between
	if first.conn == again.conn {
		t.Fatal("an id was twice on one connection")
	}
}

// What came whole counts, also if what follows it on the connection can't be read.
func TestCompleteResponseBeforeMalformedOneCounts(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("once", 1, longTimeout, "")) // may not be sent again
	w := e.expect(t, "want")
	w.conn.Write(append(resp.Append(nil, w.requestID(), "OK", "-", "x\ty\tz\n"), "?"...))
	c.expect("rows x|y|z|")
	if got := s.endReasons(e.addr); got != string(Malformed) {
		t.Fatalf("it ended as %s", got)
	}
}

// An id that a client uses again, once its request is over, goes on another connection: a second copy of the first
// answer, which comes late, is none to it.
func TestDuplicateResponseDoesNotAnswerLaterRequest(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expect(t, "want")
	first.reply(first.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	a.expect("rows x|y|z|")
	b := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	first.reply(first.requestID(), "OK", "sheets=1", "x\ty\tz\n")
	w.reply(w.requestID(), "OK", "sheets=1", "u\tv\tw\n")
	b.expect("rows u|v|w|")
	if w.conn == first.conn {
		t.Fatal("an id was twice on one connection")
	}
}
