package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"wheatlane/internal/broker"
)

// A client that waits no more is told so, and so is the engine.
func TestKillQuery(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	s.connect(fmt.Sprintf("KILL QUERY %d", c.session)).expect("ok")
	c.expect("1317")
	if m := e.expect(t, "never_mind"); m.requestID() != w.requestID() {
		t.Fatalf("called off %s", m.requestID())
	}
	d := s.connect(statement("lookup", 2, longTimeout, ""))
	w = e.expect(t, "want")
	d.socket.Close() // says as much
	if m := e.expect(t, "never_mind"); m.requestID() != w.requestID() {
		t.Fatalf("called off %s", m.requestID())
	}
}

// What can't be read costs its own connection, with an answer and one log line; the rest is served on.
func TestInvalidClientInput(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	big := append([]byte{0, 0, 255, 0}, "\x03SELECT"...)
	for name, c := range map[string]struct {
		login, then []byte
		want        []string // answers after the greeting
		reason      Reason   // of its log line
	}{
		"wrong user":        {loginPacket("root"), nil, []string{"1045", "closed"}, AccessDenied},
		"no login":          {packetBytes(1, "hello"), nil, []string{"1043", "closed"}, Malformed},
		"login of sequence": {packetBytes(3, "hello"), nil, []string{"1156", "closed"}, Malformed},
		"huge packet":       {loginPacket("app"), big, []string{"ok", "1153", "closed"}, TooLarge},
		"out of order":      {loginPacket("app"), packetBytes(9, "\x0e"), []string{"ok", "1156", "closed"}, Malformed},
		"empty":             {loginPacket("app"), packetBytes(0, ""), []string{"ok", "1835", "closed"}, Malformed},
		"odd command":       {loginPacket("app"), append(packetBytes(0, "\x1d"), packetBytes(0, "\x01")...), []string{"ok", "1047", "closed"}, Quit},
		"odd database":      {loginPacket("app"), append(packetBytes(0, "\x02x"), packetBytes(0, "\x01")...), []string{"ok", "1049", "closed"}, Quit},
		"no fields":         {loginPacket("app"), append(packetBytes(0, "\x03SELECT 1"), packetBytes(0, "\x01")...), []string{"ok", "1210", "closed"}, Quit},
	} {
		t.Run(name, func(t *testing.T) {
			s.logs.TakeAll()
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			peer := nc.LocalAddr().String()
			cl := &testClient{t: t, socket: nc, reader: bufio.NewReader(nc)}
			cl.readPacket()
			nc.Write(c.login)
			var got []string
			if c.then != nil {
				got = append(got, cl.readAnswer())
				// The end of a session is read by itself, so that it does not overtake the answer before it.
				split := len(c.then)
				if c.reason == Quit {
					split -= 5
				}
				nc.Write(c.then[:split])
				got = append(got, cl.readAnswer())
				nc.Write(c.then[split:])
			} else {
				got = append(got, cl.readAnswer())
			}
			got = append(got, cl.readAnswer())
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
			nc.Close()
			if got := s.endReasons(peer); got != string(c.reason) {
				t.Fatalf("log lines: %q, want one with %s", got, c.reason)
			}
		})
	}
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
}

// Seen on days with clients that ask once and stay: those that came later got error 1040, 5,905 in a minute.
// At the cap those make room that never log in and those that are idle; while all are busy, one more is refused.
func TestIdleClientsAreEvictedAtTheLimit(t *testing.T) {
	e, o, p := newFakeEngine(t), newFakeEngine(t), newFakeEngine(t) // enough to take all at once
	s := startWithLimits(t, 30*time.Second, 64, endpointJSON("e1", e.addr, "in_service", 0), endpointJSON("e2", o.addr, "in_service", 0),
		endpointJSON("e3", p.addr, "in_service", 0))
	const most = 28 // 64 less 16 for engines and 16 of its own, and an eighth of that
	silent, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	first := &testClient{t: t, socket: silent, reader: bufio.NewReader(silent)}
	first.readPacket() // the greeting
	idle := s.connect()
	var busy []*testClient
	for i := range most {
		busy = append(busy, s.connect(statement("lookup", 1+i, longTimeout, "")))
	}
	first.expect("closed")
	idle.expect("closed")
	for _, c := range []struct {
		nc   net.Conn
		want Reason
	}{{silent, EvictedIdle}, {idle.socket, EvictedIdle}} {
		if got := s.endReasons(c.nc.LocalAddr().String()); got != string(c.want) {
			t.Errorf("ended as %s, want %s", got, c.want)
		}
	}
	for range busy { // all are in once the engines have them
		select {
		case <-e.messages:
		case <-o.messages:
		case <-p.messages:
		case <-time.After(testTimeout):
			t.Fatal("not all were sent")
		}
	}
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	(&testClient{t: t, socket: nc, reader: bufio.NewReader(nc)}).expect("1040")
}

// Whoever says nothing, or begins a message and does not end it, is closed within 3 s of connecting, however
// slowly more of it comes.
func TestSilentClientsAreClosed(t *testing.T) {
	s := startServer(t)
	half := packetBytes(0, "\x03SELECT")[:8]
	for name, c := range map[string]struct {
		say  []byte
		want Reason
	}{
		"nothing":      {nil, LoginTimeout},
		"half a login": {loginPacket("app")[:9], LoginTimeout},
		"half a query": {append(loginPacket("app"), half...), ReadTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.Write(c.say)
			nc.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.Copy(io.Discard, nc); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
			if got := s.endReasons(nc.LocalAddr().String()); got != string(c.want) {
				t.Fatalf("ended as %s, want %s", got, c.want)
			}
			lasted := s.logs.FilterField(zap.String("peer", nc.LocalAddr().String())).All()[0].ContextMap()["lasted"]
			if lasted.(time.Duration) < time.Second {
				t.Fatalf("closed after %v", lasted)
			}
		})
	}
}

// Term: nothing of a request is sent on once its client has left while it waited for a connection, whichever way it
// left and whether or not the deployment lets attempts be cancelled. What another client asked goes on the same
// connection, so it proves that nothing was sent ahead of it.
func TestClientLeavesWhileEngineConnects(t *testing.T) {
	for name, leave := range map[string]func(s *testServer, c *testClient){
		"KILL QUERY": func(s *testServer, c *testClient) {
			s.connect(fmt.Sprintf("KILL QUERY %d", c.session)).expect("ok")
		},
		"close": func(s *testServer, c *testClient) { c.socket.Close() },
		"reset": func(s *testServer, c *testClient) {
			c.socket.(*net.TCPConn).SetLinger(0)
			c.socket.Close()
		},
	} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				t.Parallel()
				e, open := newUnconnectableEngine(t)
				s := startConfigured(t, nopMeter{}, 30*time.Second, 1024, withCancellation(cancel), endpointJSON("e1", e.addr, "in_service", 0))
				gone := s.connect(statement("lookup", 1, longTimeout, ""))
				waitUntil(t, "the first waits for the connection", func() bool { return s.streamCount("e1") == 1 })
				stays := s.connect(statement("lookup", 2, longTimeout, ""))
				waitUntil(t, "the second does, too", func() bool { return s.streamCount("e1") == 2 })
				leave(s, gone)
				waitUntil(t, "only the second does", func() bool { return s.streamCount("e1") == 1 })
				open()
				w := e.expect(t, "want")
				if w.requestID() != "0000000000000002" {
					t.Fatalf("the engine got %q", w.words)
				}
				w.reply(w.requestID(), "OK", "-", "")
				stays.expect("rows ")
			})
		}
	}
}

// A client that does not read what it is told ends at once for the reducer as well: what it asks while its connection
// comes to an end has no way back, and is not sent on.
func TestSessionEndsWhenSendBufferIsFull(t *testing.T) {
	near, _ := connectedPair(t)
	c := &client{id: 7, conn: newBufferedConn(near, 0, 10, 10)}
	n := &Server{clients: map[broker.Session]*client{7: c}}
	n.sendReply(broker.Reply{Session: 7, Kind: broker.ReplyFailed, Text: "more than there is room for"})
	if c.conn.closeReason == nil || c.conn.closeReason.Reason != BufferFull {
		t.Errorf("the connection ends as %v", c.conn.closeReason)
	}
	if got, want := fmt.Sprint(n.pendingEvents), fmt.Sprint([]broker.Event{broker.SessionClosed{Session: 7}}); got != want {
		t.Errorf("the reducer is told %s, want %s", got, want)
	}
}

// A client that ends what it writes may still read. Nothing more is done for what it asked, as it can't be told from one
// that has left, and it is told so: refused where trying again is harmless, else failed. Then its connection ends.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		out   bool // an attempt is out
		want  string
	}{
		"repeatable, out":     {"lookup", true, "1226"},
		"unsafe, out":         {"once", true, "1105"},
		"unsafe, never sent":  {"once", false, "1226"},
		"nothing is open":     {"", false, "closed"},
		"two, the first sent": {"lookup", true, "1226"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEngine(t)
			health := "in_service"
			if !c.out {
				health = "terminating"
			}
			s := startServer(t, endpointJSON("e1", e.addr, health, 0))
			a := s.connect()
			if c.class != "" {
				a.query(statement(c.class, 1, longTimeout, ""))
				waitUntil(t, "it is taken", func() bool { return inLoop(s, func(n *Server) bool { return n.reducer.OpenRequests() == 1 }) })
			}
			if c.out {
				e.expect(t, "want")
			}
			if strings.HasPrefix(name, "two") {
				a.query(statement(c.class, 2, longTimeout, ""))
			}
			a.socket.(*net.TCPConn).CloseWrite()
			a.expect(c.want)
			if strings.HasPrefix(name, "two") {
				a.expect("1226")
			}
			if c.want != "closed" {
				a.expect("closed")
			}
			if c.out {
				e.expect(t, "never_mind")
			}
			waitUntil(t, "it is gone", func() bool {
				return inLoop(s, func(n *Server) bool { return n.reducer.OpenRequests()+len(n.clients) == 0 })
			})
			if got := s.endReasons(a.socket.LocalAddr().String()); got != string(PeerClosed) {
				t.Errorf("it ended as %s", got)
			}
		})
	}
}

// A client for which there is no room gets its refusal and an end in good order, though it has written already and nobody
// reads that.
func TestRejectionSurvivesUnreadBytes(t *testing.T) {
	near, far := connectedPair(t)
	if _, err := far.Write(append(loginPacket("app"), packetBytes(0, "\x03"+statement("lookup", 1, longTimeout, ""))...)); err != nil {
		t.Fatal(err)
	}
	rejectConnection(near)
	c := newTestClient(t, far)
	c.expect("1040")
	c.expect("closed")
}
