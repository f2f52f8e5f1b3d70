package server

import (
	"testing"

	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// Guards against a request that is never answered because the next message of its session arrives cut and falls quiet:
// the connection stays open until the request is answered.
func TestPartialMessageDoesNotEndOpenRequest(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	next := queryPacket(statement("lookup", 2, longTimeout, ""))
	c, quiet := s.connect(), s.connect()
	c.send(append(queryPacket(statement("lookup", 1, longTimeout, "")), next[:len(next)/2]...))
	first := e.expectAttempt(t)
	quiet.send(next[:len(next)/2]) // without an open request, it is closed when the timeout has passed
	quiet.expect("closed")
	s.expectEnd(quiet.localAddr(), netconn.ReadTimeout)
	first.replyRows(testRow)
	c.expect(testRows)
	c.send(next[len(next)/2:])
	e.expectAttempt(t).replyRows(testRow)
	c.expect(testRows)
}

// A message that is still cut when the requests ahead of it have been answered ends the connection.
func TestPartialMessageEndsConnectionAfterAnswer(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	c := s.connect()
	c.send(append(queryPacket(statement("lookup", 1, longTimeout, "")), mysqlQuery...))
	e.expectAttempt(t).replyRows(testRow)
	c.expect(testRows, "closed")
	s.expectEnd(c.localAddr(), netconn.ReadTimeout)
}

// Guards against requests that are never answered because something follows them that ends the connection. They are
// answered first, in order; the answers need not come from an engine.
func TestRequestsAheadOfUnreadableMessageAreAnswered(t *testing.T) {
	const rejected, failed = "1226", "1105"
	for name, c := range map[string]struct {
		message []byte
		replies []string
		reason  netconn.Reason
	}{
		"quit":             {packetBytes(0, "\x01"), nil, netconn.Quit},
		"wrong sequence":   {packetBytes(9, mysqlPing), []string{"1156"}, netconn.Malformed},
		"empty packet":     {packetBytes(0, ""), []string{"1835"}, netconn.Malformed},
		"packet too large": {[]byte{0xff, 0xff, 0xff, 0}, []string{"1153"}, netconn.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEngine(t)
			s := startServer(t, inService("e1", e))
			client := s.connect(statement("once", 1, longTimeout, ""))
			socktest.Receive(t, e.messages, "the attempt of the open request")
			queued := queryPacket(statement("lookup", 2, longTimeout, ""))
			client.send(append(queued, c.message...))
			client.expect(append(append([]string{failed, rejected}, c.replies...), "closed")...)
			s.expectEnd(client.localAddr(), c.reason)
		})
	}
}
