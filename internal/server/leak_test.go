package server

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"wheatlane/internal/socktest"
)

// leakTest injects faults into one broker and looks for what they leave behind.
type leakTest struct {
	t        *testing.T
	server   *testServer
	engine   *fakeEngine
	requests int
}

// start sends a request and returns its client and its attempt.
func (l *leakTest) start() (*testClient, engineMessage) {
	l.t.Helper()
	l.requests++
	c := l.server.connect(statement("lookup", l.requests, longTimeout, ""))
	return c, l.engine.expectAttempt(l.t)
}

// finish answers the retry of a request and closes its client.
func (l *leakTest) finish(c *testClient) {
	l.t.Helper()
	l.engine.expectAttempt(l.t).replyRows(testRow)
	c.expect(testRows)
	c.close()
}

func (l *leakTest) duplicateAndUnknownResponses() {
	c, attempt := l.start()
	attempt.write(resultMessage("00000000000000ff", testRow))
	result := resultMessage(attempt.requestID(), testRow)
	attempt.write(append(result, result...))
	c.expect(testRows)
	c.close()
}

func (l *leakTest) pageBeforeItsResult() {
	c, attempt := l.start()
	attempt.reply(attempt.requestID(), "ROWS", "sheet=1", testRow)
	attempt.closeConn()
	l.finish(c)
}

func (l *leakTest) endlessResponse() {
	c, attempt := l.start()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for chunk := []byte("*4\r\n$90000\r\n"); ; chunk = make([]byte, 100) {
			if _, err := attempt.conn.Write(chunk); err != nil {
				return
			}
		}
	}()
	l.engine.expectAttempt(l.t).replyRows(testRow)
	c.expect(testRows)
	socktest.Receive(l.t, ended, "the end of the connection")
	c.close()
}

func (l *leakTest) clientSendsMuchAndLeaves() {
	c := l.server.dial()
	c.send(loginPacket("app"))
	for range 20 {
		c.send(make([]byte, 64<<10))
	}
	c.close()
}

func (l *leakTest) clientResetsInAMessage() {
	c, attempt := l.start()
	c.send(queryPacket("SELECT")[:6])
	c.reset()
	l.engine.expectCancel(l.t, attempt)
}

// truncatedResponse cuts a response after some bytes and closes its connection.
func (l *leakTest) truncatedResponse(length int) {
	c, attempt := l.start()
	attempt.write(resultMessage(attempt.requestID(), testRow)[:length])
	attempt.closeConn()
	l.finish(c)
}

// count returns the goroutines and open descriptors without the broker's connections to the engine.
func (l *leakTest) count() (goroutines, descriptors int) {
	l.t.Helper()
	inLoop(l.server, func(s *Server) bool {
		s.pool.CloseConnections("e1", 0)
		return true
	})
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		l.t.Fatal(err)
	}
	return runtime.NumGoroutine(), len(all)
}

// baseline returns what count gives while nothing is open, after a first request.
func (l *leakTest) baseline() (goroutines, descriptors int) {
	l.t.Helper()
	c, attempt := l.start()
	attempt.replyRows(testRow)
	c.expect(testRows)
	c.close()
	socktest.WaitUntil(l.t, "the first client and connection have gone", func() bool {
		goroutines, descriptors = l.count()
		return inLoop(l.server, func(s *Server) bool {
			return s.frontend.Len() == 0 && s.pool.Stats().Connections == 0
		})
	})
	for range 200 { // what ends in the background ends
		g, d := l.count()
		goroutines, descriptors = min(goroutines, g), min(descriptors, d)
	}
	return goroutines, descriptors
}

// Whatever an engine answers and however a client leaves, the request has one answer or none is owed, the
// next one is served, and no goroutine and no descriptor is left behind.
func TestFaultsLeakNothing(t *testing.T) {
	e := newFakeEngine(t)
	l := &leakTest{t: t, server: startServer(t, inService("e1", e)), engine: e}
	faults := map[string]func(){
		"responses for unknown and known ids, twice": l.duplicateAndUnknownResponses,
		"a page before its result":                   l.pageBeforeItsResult,
		"a response that never ends":                 l.endlessResponse,
		"a client that sends much and leaves":        l.clientSendsMuchAndLeaves,
		"a client that resets in a message":          l.clientResetsInAMessage,
	}
	for length := range resultMessage("0000000000000000", testRow) {
		faults[fmt.Sprintf("a response cut after %d bytes", length)] = func() { l.truncatedResponse(length) }
	}
	goroutines, descriptors := l.baseline()
	for name, fault := range faults {
		fault()
		socktest.WaitUntil(t, "nothing is left after "+name, func() bool {
			g, d := l.count()
			return g <= goroutines && d <= descriptors
		})
	}
}
