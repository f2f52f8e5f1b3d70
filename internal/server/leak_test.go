package server

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"wheatlane/internal/socktest"
)

// leakTest injects faults into one broker and counts the goroutines and descriptors that remain.
type leakTest struct {
	t        *testing.T
	server   *testServer
	engine   *fakeEngine
	requests int
}

// start sends a request from a new client and returns the client and the attempt.
func (l *leakTest) start() (*testClient, engineMessage) {
	l.t.Helper()
	l.requests++
	c := l.server.connect(statement("lookup", l.requests, longTimeout, ""))
	return c, l.engine.expectAttempt(l.t)
}

// finish replies to the retry of a request and closes its client.
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

func (l *leakTest) pageBeforeResult() {
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

func (l *leakTest) clientFloodsAndDisconnects() {
	c := l.server.dial()
	c.send(loginPacket("app"))
	for range 20 {
		c.send(make([]byte, 64<<10))
	}
	c.close()
}

func (l *leakTest) clientResetsWithinMessage() {
	c, attempt := l.start()
	c.send(queryPacket("SELECT")[:6])
	c.reset()
	l.engine.expectCancel(l.t, attempt)
}

// truncatedResponse sends the first length bytes of a response and closes the connection.
func (l *leakTest) truncatedResponse(length int) {
	c, attempt := l.start()
	attempt.write(resultMessage(attempt.requestID(), testRow)[:length])
	attempt.closeConn()
	l.finish(c)
}

// count closes the broker's connections to the engine and counts goroutines and open descriptors.
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

// baseline returns the counts after a first request, with no client and no engine connection open.
func (l *leakTest) baseline() (goroutines, descriptors int) {
	l.t.Helper()
	c, attempt := l.start()
	attempt.replyRows(testRow)
	c.expect(testRows)
	c.close()
	socktest.WaitUntil(l.t, "the first client and engine connection have ended", func() bool {
		goroutines, descriptors = l.count()
		return inLoop(l.server, func(s *Server) bool {
			return s.frontend.ClientCount() == 0 && s.pool.Stats().Connections == 0
		})
	})
	for range 200 { // let goroutines and descriptors in the background be released
		g, d := l.count()
		goroutines, descriptors = min(goroutines, g), min(descriptors, d)
	}
	return goroutines, descriptors
}

// After a faulty engine response or an abrupt client disconnect, the request is answered once unless its client has
// disconnected, the next request is served, and no goroutine or descriptor leaks.
func TestFaultsLeakNoGoroutineOrDescriptor(t *testing.T) {
	e := newFakeEngine(t)
	l := &leakTest{t: t, server: startServer(t, inService("e1", e)), engine: e}
	faults := map[string]func(){
		"unknown and duplicate responses": l.duplicateAndUnknownResponses,
		"page before its result":          l.pageBeforeResult,
		"endless response":                l.endlessResponse,
		"client floods and disconnects":   l.clientFloodsAndDisconnects,
		"client resets within a message":  l.clientResetsWithinMessage,
	}
	for length := range resultMessage("0000000000000000", testRow) {
		faults[fmt.Sprintf("response truncated after %d bytes", length)] = func() { l.truncatedResponse(length) }
	}
	goroutines, descriptors := l.baseline()
	for name, fault := range faults {
		fault()
		socktest.WaitUntil(t, "no goroutine or descriptor is left after: "+name, func() bool {
			g, d := l.count()
			return g <= goroutines && d <= descriptors
		})
	}
}
