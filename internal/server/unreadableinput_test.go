package server

import (
	"testing"

	"wheatlane/internal/server/netconn"
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
