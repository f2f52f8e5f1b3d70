package server

import (
	"fmt"
	"testing"

	"wheatlane/internal/resp"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

const (
	testRow  = "x\ty\tz\n"    // row of an engine's result
	testRows = "rows x|y|z|"  // testRow as a client receives it
	otherRow = "no\tno\tno\n" // row that no client may receive
)

// A response that stays incomplete on an open connection ends all attempts in flight on it, after a timeout for partial
// responses. Idempotent requests are retried on another connection.
func TestPartialResponseTimeout(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	a := s.connect(statement("load", 1, longTimeout, ""))
	b := s.connect(statement("load", 2, longTimeout, ""))
	first, second := e.expectAttempt(t), e.expectAttempt(t)
	if first.conn != second.conn {
		t.Fatal("the attempts are on two connections, want one")
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

// Duplicate responses and responses for unknown ids are ignored. In particular, they do not answer the retry of their
// request.
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
	c.ping() // no second reply precedes it
	if first.conn == retry.conn {
		t.Fatal("the retry uses the connection of the first attempt")
	}
}

// A complete response is accepted even if the bytes that follow it on the connection are malformed.
func TestCompleteResponseBeforeMalformedOneCounts(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect(statement("once", 1, longTimeout, "")) // may not be retried
	attempt := e.expectAttempt(t)
	attempt.write(append(resp.Append(nil, attempt.requestID(), "OK", "sheets=1", testRow), "?"...))
	c.expect(testRows)
	s.expectEnd(e.addr, netconn.Malformed)
}

// withArrayLength returns a message of four parts whose array length is another one.
func withArrayLength(length int, message []byte) []byte {
	return fmt.Appendf(nil, "*%d%s", length, message[len("*4"):])
}

// Guards against a response without its last parts, as its array length is too small, that is served as an empty result
// or page: it ends the connection, and the request is retried.
func TestResponseWithWrongArrayLengthIsNotServed(t *testing.T) {
	for _, length := range []int{0, 1, 2, 3, 5, 6} {
		t.Run(fmt.Sprintf("first page, %d parts", length), func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, inService("e1", e))
			c := s.connect(statement("lookup", 1, longTimeout, ""))
			attempt := e.expectAttempt(t)
			attempt.write(withArrayLength(length, resultMessage(attempt.requestID(), otherRow)))
			e.expectAttempt(t).replyRows(testRow)
			c.expect(testRows)
		})
		t.Run(fmt.Sprintf("second page, %d parts", length), func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, inService("e1", e))
			c := s.connect(statement("lookup", 1, longTimeout, ""))
			attempt := e.expectAttempt(t)
			attempt.reply(attempt.requestID(), "OK", "sheets=2", otherRow)
			page := e.expect(t, commandFetchPage)
			page.write(withArrayLength(length, resp.Append(nil, attempt.requestID(), "ROWS", "sheet=1", otherRow)))
			e.expectAttempt(t).replyRows(testRow)
			c.expect(testRows)
		})
	}
}

// Guards against a result that ends with its first page because its response does not give the number of pages: the
// request is retried.
func TestResponseWithoutPageCountIsNotServed(t *testing.T) {
	for _, fields := range []string{"-", "", "toil=5,room=1", "sheers=3"} {
		t.Run(fields, func(t *testing.T) {
			e := newFakeEngine(t)
			s := startServer(t, inService("e1", e))
			c := s.connect(statement("lookup", 1, longTimeout, ""))
			attempt := e.expectAttempt(t)
			attempt.reply(attempt.requestID(), "OK", fields, otherRow)
			release, retry := e.expectReleaseAndAttempt(t)
			if release.conn != attempt.conn || retry.conn == attempt.conn {
				t.Error("the retry must use another connection than the attempt and its release")
			}
			retry.replyRows(testRow)
			c.expect(testRows)
		})
	}
}

// A request that reuses the id of an ended request is sent on another connection, so that a late duplicate of the first
// response does not answer it.
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
		t.Fatal("the second request uses the connection of the first one")
	}
}
