package server

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"testing"

	"wheatlane/internal/resp"
)

// Whatever an engine answers and however a client goes, the request has one answer or none is owed, the next one is served,
// and no goroutine and no descriptor is left behind.
func TestFaultsLeakNothing(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	n := 0
	ask := func() (*testClient, engineMessage) {
		n++
		c := s.connect(statement("lookup", n, longTimeout, ""))
		return c, e.expect(t, "want")
	}
	whole := func(id string) []byte { return resp.Append(nil, id, "OK", "sheets=1", "x\ty\tz\n") }
	faults := map[string]func(){
		"ids unknown and known, twice": func() {
			c, w := ask()
			w.conn.Write(whole("00000000000000ff"))
			w.conn.Write(append(whole(w.requestID()), whole(w.requestID())...))
			c.expect("rows x|y|z|")
			c.socket.Close()
		},
		"a page ahead of its answer, and then none": func() {
			c, w := ask()
			w.reply(w.requestID(), "ROWS", "sheet=1", "x\ty\tz\n")
			w.conn.Close()
			again := e.expect(t, "want")
			again.conn.Write(whole(again.requestID()))
			c.expect("rows x|y|z|")
			c.socket.Close()
		},
		"an answer that never ends": func() {
			c, w := ask()
			stop := make(chan struct{})
			go func() {
				defer close(stop)
				for chunk := []byte("*4\r\n$90000\r\n"); ; chunk = make([]byte, 100) {
					if _, err := w.conn.Write(chunk); err != nil {
						return
					}
				}
			}()
			again := e.expect(t, "want")
			again.conn.Write(whole(again.requestID()))
			c.expect("rows x|y|z|")
			receive(t, stop, "the end of the connection")
			c.socket.Close()
		},
		"a client that sends much and goes": func() {
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			nc.Write(loginPacket("app"))
			for range 20 {
				nc.Write(make([]byte, 64<<10))
			}
			nc.Close()
		},
		"a client that asks, half asks and resets": func() {
			c, w := ask()
			c.socket.Write(packetBytes(0, "\x03SELECT")[:6])
			c.socket.(*net.TCPConn).SetLinger(0)
			c.socket.Close()
			if m := e.expect(t, "never_mind"); m.requestID() != w.requestID() {
				t.Fatalf("called off %s", m.requestID())
			}
		},
	}
	for cut := range whole("0000000000000000") {
		faults[fmt.Sprintf("an answer cut after %d bytes", cut)] = func() {
			c, w := ask()
			w.conn.Write(whole(w.requestID())[:cut])
			w.conn.Close()
			again := e.expect(t, "want")
			again.conn.Write(whole(again.requestID()))
			c.expect("rows x|y|z|")
			c.socket.Close()
		}
	}
	// What is there while nobody asks: the broker's connections to the engine are dropped for the count.
	count := func() (goroutines, descriptors int) {
		inLoop(s, func(n *Server) bool { n.pool.closeConnections("e1", 0); return true })
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return runtime.NumGoroutine(), len(all)
	}
	c, w := ask()
	w.conn.Write(whole(w.requestID()))
	c.expect("rows x|y|z|")
	c.socket.Close()
	var goroutines, descriptors int
	waitUntil(t, "the first client and connection have gone", func() bool {
		goroutines, descriptors = count()
		return inLoop(s, func(n *Server) bool { return len(n.clients) == 0 && n.pool.connCount == 0 && len(n.clientSlots) == 0 })
	})
	for range 200 { // what ends in the background ends
		g, d := count()
		goroutines, descriptors = min(goroutines, g), min(descriptors, d)
	}
	for name, fault := range faults {
		fault()
		waitUntil(t, "all is gone after "+name, func() bool {
			g, d := count()
			return g <= goroutines && d <= descriptors
		})
	}
}
