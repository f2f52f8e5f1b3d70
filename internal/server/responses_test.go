package server

import (
	"testing"

	"wheatlane/internal/resp"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

const (
	testRow  = "x\ty\tz\n"    // a row of an engine's result
	testRows = "rows x|y|z|"  // as a client reads it
	otherRow = "no\tno\tno\n" // one that no client may get
)

// A response that stops short on a connection that stays open costs all that is in flight there, after a
// time-out of its own. What is idempotent is retried, on another connection.
func TestPartialResponseTimeout(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("load", 1, longTimeout, ""))
	b := s.connect(statement("load", 2, longTimeout, ""))
	first, second := e.expectAttempt(t), e.expectAttempt(t)
	if first.conn != second.conn {
		t.Fatal("they are on two connections")
	}
	second.write(resultMessage(second.requestID(), testRow)[:40])
	socktest.Receive(t, e.closed, "the end of the connection")
	for range 2 {
		e.expectAttempt(t).replyRows(testRow)
	}
	a.expect(testRows)
	b.expect(testRows)
	s.expectEnd(e.addr, netconn.Stalled)
}

// A duplicate response, or one for an unknown id, changes nothing; above all it does not answer the next
// attempt of its request.
func TestDuplicateResponsesAreIgnored(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expectAttempt(t)
	first.write(resultMessage("00000000000000ff", otherRow))
	first.reply(first.requestID(), "ERR", "-", "")
	retry := e.expectAttempt(t)
	first.reply(first.requestID(), "ERR", "-", "")
	first.replyRows(otherRow)
	retry.replyRows(testRow)
	retry.replyRows(testRow)
	c.expect(testRows)
	c.ping() // no second answer came in between
	if first.conn == retry.conn {
		t.Fatal("an id was twice on one connection")
	}
}

// A complete response counts also where what follows it on the connection can't be parsed.
func TestCompleteResponseBeforeMalformedOneCounts(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("once", 1, longTimeout, "")) // may not be retried
	attempt := e.expectAttempt(t)
	attempt.write(append(resp.Append(nil, attempt.requestID(), "OK", "-", testRow), "?"...))
	c.expect(testRows)
	s.expectEnd(e.addr, netconn.Malformed)
}

// A request id that a client uses again, once its request is over, goes on another connection: a late
// duplicate of the first response does not answer it.
func TestDuplicateResponseDoesNotAnswerLaterRequest(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("lookup", 1, longTimeout, ""))
	first := e.expectAttempt(t)
	first.replyRows(testRow)
	a.expect(testRows)
	b := s.connect(statement("lookup", 1, longTimeout, ""))
	second := e.expectAttempt(t)
	first.replyRows(testRow)
	second.replyRows("u\tv\tw\n")
	b.expect("rows u|v|w|")
	if second.conn == first.conn {
		t.Fatal("an id was twice on one connection")
	}
}
