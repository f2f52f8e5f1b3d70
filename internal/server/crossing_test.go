package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/config"
	"wheatlane/internal/resp"
)

// The tests of this file force the crossings of docs/design/crossings.md on sockets: each holds one event back until
// the other has been seen to happen.

// look asks something of the goroutine that owns the reducer.
func look[T any](s *site, of func(n *Server) T) T {
	s.t.Helper()
	got := make(chan T, 1)
	s.node.inbox <- func() { got <- of(s.node) }
	return next(s.t, got, "the reducer's goroutine")
}

// streams is how many attempts and probes are on connections to an engine.
func (s *site) streams(engine string) int {
	return look(s, func(n *Server) (sum int) {
		for _, c := range n.pool.connsByEngine[engine] {
			sum += len(c.streams)
		}
		return sum
	})
}

// lateEngine listens, but connections to it come up only once open is called, as its queue is full until then.
func lateEngine(t *testing.T) (e *engine, open func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { filler.Close(); file.Close() })
	e = &engine{addr: addr}
	return e, func() {
		ln, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		e.serve(t, ln)
	}
}

func patientConnects(cancel bool) func(*config.Config) {
	return func(c *config.Config) {
		c.Settings.ConnectTimeout = patience
		c.Settings.Control.Limits.Cancellation = cancel
	}
}

// Term: nothing of a request is sent on once its client has left while it waited for a connection, whichever way it
// left and whether or not the deployment lets attempts be cancelled. What another client asked goes on the same
// connection, so it proves that nothing was sent ahead of it.
func TestAClientThatLeavesWhileAConnectionComesUp(t *testing.T) {
	for name, leave := range map[string]func(s *site, c *customer){
		"KILL QUERY": func(s *site, c *customer) {
			s.dial(fmt.Sprintf("KILL QUERY %d", c.id)).want("ok")
		},
		"close": func(s *site, c *customer) { c.nc.Close() },
		"reset": func(s *site, c *customer) {
			c.nc.(*net.TCPConn).SetLinger(0)
			c.nc.Close()
		},
	} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				t.Parallel()
				e, open := lateEngine(t)
				s := serveChanged(t, nopMeter{}, 30*time.Second, 1024, patientConnects(cancel), host("e1", e.addr, "in_service", 0))
				gone := s.dial(query("lookup", 1, long, ""))
				until(t, "the first waits for the connection", func() bool { return s.streams("e1") == 1 })
				stays := s.dial(query("lookup", 2, long, ""))
				until(t, "the second does, too", func() bool { return s.streams("e1") == 2 })
				leave(s, gone)
				until(t, "only the second does", func() bool { return s.streams("e1") == 1 })
				open()
				w := e.next(t, "want")
				if w.id() != "0000000000000002" {
					t.Fatalf("the engine got %q", w.parts)
				}
				w.reply(w.id(), "OK", "-", "")
				stays.want("rows ")
			})
		}
	}
}

// quiet is a node that does not run, with a connection to engine e1 that nothing has left on yet, and its other side.
func quiet(t *testing.T) (n *Server, l *bufferedConn, far *net.TCPConn) {
	t.Helper()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settings, 30*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	near, far := pair(t)
	n = &Server{cfg: config.Config{Settings: set, Sockets: 1024}, meter: nopMeter{}}
	n.pool = newEnginePool(n)
	l = newBufferedConn(near, maxEngineSendDelay, maxEngineReceiveBytes, maxEngineSendBytes)
	c := &engineConn{engine: "e1", addr: "a", transport: l, cancel: func() {}, streams: map[string]*stream{}, retiredIDs: map[string]time.Time{},
		lastUsed: time.Now(), lastReceived: time.Now()}
	n.pool.connsByEngine["e1"], n.pool.connCount = []*engineConn{c}, 1
	return n, l, far
}

// What waits behind other bytes on its way to an engine is taken back whole, with what was said of it since, when its
// client has left, it is given up, or its engine drains; what is beside it leaves. What has begun to leave is called off.
func TestWhatHasNotLeftIsTakenBack(t *testing.T) {
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	for name, c := range map[string]struct {
		do   func(n *Server)
		left []string       // what leaves, by word and id
		end  []broker.Event // what the reducer is told
	}{
		"client left": {func(n *Server) { n.pool.withdrawAttempt(one) }, []string{"want 2"}, []broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}}},
		"given up":    {func(n *Server) { n.pool.cancelAttempt(one) }, []string{"want 2"}, []broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}}},
		"drained": {func(n *Server) { n.pool.cancelUnsent("e1") }, nil,
			[]broker.Event{broker.AttemptEnded{Attempt: one, Status: control.NeverSent}, broker.AttemptEnded{Attempt: two, Status: control.NeverSent}}},
		"another engine drained": {func(n *Server) { n.pool.cancelUnsent("e2") }, []string{"want 1", "want 2", "hurry 1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			n, l, far := quiet(t)
			for i, a := range []broker.AttemptID{one, two} {
				n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: fmt.Sprint(i + 1), Class: "lookup", Timeout: time.Second, Priority: 1})
			}
			n.pool.setPriority(broker.SetPriority{Attempt: one, Priority: 3})
			c.do(n)
			l.closeAfterSent(&endError{Reason: Shutdown})
			go l.writeLoop(t.Context())
			all, _ := io.ReadAll(far)
			var left []string
			for len(all) > 0 {
				parts, size, err := resp.Parse(all)
				if err != nil || size == 0 {
					t.Fatalf("the engine can't read %q", all)
				}
				left = append(left, string(parts[0])+" "+string(parts[1]))
				all = all[size:]
			}
			if fmt.Sprint(left) != fmt.Sprint(c.left) {
				t.Errorf("left: %q, want %q", left, c.left)
			}
			if fmt.Sprint(n.pendingEvents) != fmt.Sprint(c.end) {
				t.Errorf("told: %v, want %v", n.pendingEvents, c.end)
			}
		})
	}
}

// A client's bytes that nobody has read yet don't turn the close into a reset, which could destroy its last answer.
func TestTheLastAnswerOutlivesUnreadBytes(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	l := newBufferedConn(near, 0, 100, 100)
	l.write([]byte("last answer"))
	l.closeAfterSent(&endError{Reason: Shutdown})
	over := make(chan error, 1)
	go func() {
		over <- l.run(t.Context(), func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	}()
	if got, err := io.ReadAll(far); string(got) != "last answer" || err != nil {
		t.Fatalf("the client got %q and %v", got, err)
	}
	far.Close()
	if got := reasonOf(next(t, over, "the end")); got != Shutdown {
		t.Fatalf("it ended as %s", got)
	}
}

// SIGTERM: connections that the system or the program has taken and the reducer has not heard of, as it stood still
// until its time for new requests was over, get their answers ahead of the exit.
func TestWhatCameIsAnsweredBeforeTheExit(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	hold, held := make(chan struct{}), make(chan struct{})
	s.node.inbox <- func() { close(held); <-hold }
	next(t, held, "the standstill")
	const clients = 5
	var nets []*customer
	for i := range clients {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		if _, err := nc.Write(append(loginAs("app"), packet(0, "\x03"+query("lookup", i+1, long, ""))...)); err != nil {
			t.Fatal(err)
		}
		nets = append(nets, newCustomer(t, nc))
	}
	s.node.inbox <- func() {
		s.node.beginShutdown()
		s.node.shutdown.requestedAt = time.Now().Add(-s.node.shutdown.acceptWindow)
	}
	close(hold)
	for range nets {
		w := e.next(t, "want")
		w.reply(w.id(), "OK", "-", "")
	}
	for _, c := range nets {
		c.packet() // the greeting
		c.want("ok")
		c.want("rows ")
		c.want("closed")
	}
	err := next(t, s.done, "the broker's end")
	s.done <- err // for the clean-up
	if err != nil {
		t.Fatal(err)
	}
}

// Where the settings forbid probes, no engine is asked whether it is alive: a connection that is doubted takes nothing
// new and ends with the last that is out on it.
func TestNoLivenessProbeWhereProbesAreForbidden(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, silenceThreshold+200*time.Millisecond, ""))
	first := e.next(t, "want")
	a.want("1226")
	e.next(t, "never_mind")
	next(t, e.closed, "the end of the silent connection")
	if got := s.reasons(e.addr); got != string(Retired) {
		t.Fatalf("it ended as %s", got)
	}
	b := s.dial(query("lookup", 2, long, ""))
	w := e.next(t, "want") // and no "there"
	if w.conn == first.conn {
		t.Fatal("the silent connection was used again")
	}
	w.reply(w.id(), "OK", "-", "")
	b.want("rows ")
}

// A connection that its engine may close any moment, as it was idle for long, takes nothing new, however seldom idle
// ones are looked for: a request put on it would cross the close, and nobody would know whether it ran.
func TestAnIdleConnectionIsNotUsed(t *testing.T) {
	const limit = time.Second
	e := newEngine(t)
	s := serveChanged(t, nopMeter{}, limit, 1024, func(*config.Config) {}, host("e1", e.addr, "in_service", 0))
	look(s, func(n *Server) bool { n.sweepInterval = time.Hour; return true })
	ask := func(n int) said {
		c := s.dial(query("lookup", n, long, ""))
		w := e.next(t, "want")
		w.reply(w.id(), "OK", "-", "")
		c.want("rows ")
		return w
	}
	first := ask(1)
	if ask(2).conn != first.conn {
		t.Fatal("a fresh connection was not used again")
	}
	look(s, func(n *Server) bool {
		for _, c := range n.pool.connsByEngine["e1"] {
			c.lastUsed = c.lastUsed.Add(-limit * 7 / 10)
		}
		return true
	})
	if ask(3).conn == first.conn {
		t.Fatal("an idle connection was used")
	}
}

// Idle limits shorter than the usual period of the sweep are kept as well.
func TestTheSweepFollowsTheIdleLimit(t *testing.T) {
	const limit = 300 * time.Millisecond
	e := newEngine(t)
	s := serveWith(t, limit, 1024, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
	next(t, e.closed, "the end of the idle connection")
	if got := s.reasons(e.addr); got != string(Idle) {
		t.Fatalf("it ended as %s", got)
	}
	if every := look(s, func(n *Server) time.Duration { return n.sweepInterval }); every >= limit {
		t.Fatalf("idle connections are looked for every %v, and engines close them after %v", every, limit)
	}
}

// An id that a client uses again, once its request is over, goes on another connection: a second copy of the first
// answer, which comes late, is none to it.
func TestASecondCopyIsNoAnswerToALaterRequest(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, long, ""))
	first := e.next(t, "want")
	first.reply(first.id(), "OK", "sheets=1", "x\ty\tz\n")
	a.want("rows x|y|z|")
	b := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	first.reply(first.id(), "OK", "sheets=1", "x\ty\tz\n")
	w.reply(w.id(), "OK", "sheets=1", "u\tv\tw\n")
	b.want("rows u|v|w|")
	if w.conn == first.conn {
		t.Fatal("an id was twice on one connection")
	}
}

// Every bound on late bytes follows the grace that the settings give.
func TestLeaveWithin(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0: maxEngineSendDelay, 200 * time.Millisecond: 160 * time.Millisecond, 500 * time.Millisecond: maxEngineSendDelay, 5 * time.Second: maxEngineSendDelay,
	} {
		if got := engineSendDelay(grace); got != want {
			t.Errorf("grace %v: %v, want %v", grace, got, want)
		}
	}
}

// The time until the last answers follows the deadlines in force: after a reload to shorter ones SIGKILL comes sooner.
func TestTheStopFollowsTheDeadlinesInForce(t *testing.T) {
	s := serve(t)
	got := look(s, func(n *Server) time.Duration {
		n.cfg.Settings.Control.Classes = []control.Class{{Name: "lookup", ClientTimeout: 400 * time.Millisecond}}
		n.beginShutdown()
		return n.shutdown.answerWithin
	})
	if want := 400*time.Millisecond + shutdownExtra - finalAnswerMargin; got != want {
		t.Fatalf("what is left is answered after %v, want %v", got, want)
	}
	s.done <- next(t, s.done, "the broker's end")
	if line := s.logs.FilterMessage("stopping").All(); len(line) != 1 || !strings.Contains(fmt.Sprint(line[0].ContextMap()["within"]), "850ms") {
		t.Fatalf("the log says %v", line)
	}
}

// A change log whose numbers go back tells nothing that can be used: its connection ends with a code, the picture that
// is known stays, and it is asked again.
func TestAChangeLogThatGoesBack(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	s.change(page(41, false, host("e2", "127.0.0.1:1", "terminating", 0)), 41)
	s.log.pages <- page(3, true, host("e9", "127.0.0.1:1", "in_service", 0))
	until(t, "the connection has ended as one that can't be read", func() bool {
		return s.logs.FilterField(zap.String("reason", string(Malformed))).Len() > 0
	})
	s.change(page(42, false, host("e2", "127.0.0.1:1", "terminated", 0)), 42)
	if got := look(s, func(n *Server) int { return n.reducer.EndpointCount() }); got != 1 {
		t.Fatalf("%d engines are known, want e1 alone", got)
	}
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
}

// A change log that answers at once though it has nothing new is asked again after pauses that grow, not on and on.
func TestAChangeLogThatNeverWaits(t *testing.T) {
	s := serve(t)
	next(t, s.log.polls, "a poll")
	began := time.Now()
	least := time.Duration(0)
	for i := range 4 {
		s.log.pages <- `{"seq":1,"results":[]}`
		next(t, s.log.polls, "another poll")
		least += time.Duration((1 - pollBackoffSpread) * float64(minPollBackoff<<i))
	}
	if took := time.Since(began); took < least {
		t.Fatalf("four empty answers took %v, and the pauses are at least %v", took, least)
	}
}

// Whatever an engine answers and however a client goes, the request has one answer or none is owed, the next one is served,
// and no goroutine and no descriptor is left behind.
func TestBadInputLeavesNothingBehind(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	n := 0
	ask := func() (*customer, said) {
		n++
		c := s.dial(query("lookup", n, long, ""))
		return c, e.next(t, "want")
	}
	whole := func(id string) []byte { return resp.Append(nil, id, "OK", "sheets=1", "x\ty\tz\n") }
	faults := map[string]func(){
		"ids unknown and known, twice": func() {
			c, w := ask()
			w.conn.Write(whole("00000000000000ff"))
			w.conn.Write(append(whole(w.id()), whole(w.id())...))
			c.want("rows x|y|z|")
			c.nc.Close()
		},
		"a page ahead of its answer, and then none": func() {
			c, w := ask()
			w.reply(w.id(), "ROWS", "sheet=1", "x\ty\tz\n")
			w.conn.Close()
			again := e.next(t, "want")
			again.conn.Write(whole(again.id()))
			c.want("rows x|y|z|")
			c.nc.Close()
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
			again := e.next(t, "want")
			again.conn.Write(whole(again.id()))
			c.want("rows x|y|z|")
			next(t, stop, "the end of the connection")
			c.nc.Close()
		},
		"a client that sends much and goes": func() {
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			nc.Write(loginAs("app"))
			for range 20 {
				nc.Write(make([]byte, 64<<10))
			}
			nc.Close()
		},
		"a client that asks, half asks and resets": func() {
			c, w := ask()
			c.nc.Write(packet(0, "\x03SELECT")[:6])
			c.nc.(*net.TCPConn).SetLinger(0)
			c.nc.Close()
			if m := e.next(t, "never_mind"); m.id() != w.id() {
				t.Fatalf("called off %s", m.id())
			}
		},
	}
	for cut := range whole("0000000000000000") {
		faults[fmt.Sprintf("an answer cut after %d bytes", cut)] = func() {
			c, w := ask()
			w.conn.Write(whole(w.id())[:cut])
			w.conn.Close()
			again := e.next(t, "want")
			again.conn.Write(whole(again.id()))
			c.want("rows x|y|z|")
			c.nc.Close()
		}
	}
	// What is there while nobody asks: the broker's connections to the engine are dropped for the count.
	count := func() (goroutines, descriptors int) {
		look(s, func(n *Server) bool { n.pool.closeConnections("e1", 0); return true })
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return runtime.NumGoroutine(), len(all)
	}
	c, w := ask()
	w.conn.Write(whole(w.id()))
	c.want("rows x|y|z|")
	c.nc.Close()
	var goroutines, descriptors int
	until(t, "the first client and connection have gone", func() bool {
		goroutines, descriptors = count()
		return look(s, func(n *Server) bool { return len(n.clients) == 0 && n.pool.connCount == 0 && len(n.clientSlots) == 0 })
	})
	for range 200 { // what ends in the background ends
		g, d := count()
		goroutines, descriptors = min(goroutines, g), min(descriptors, d)
	}
	for name, fault := range faults {
		fault()
		until(t, "all is gone after "+name, func() bool {
			g, d := count()
			return g <= goroutines && d <= descriptors
		})
	}
}

// A watch that is silent from its start, and whose renewal is silent as well, costs no more than their times: the third
// call is made from the same number, and what it tells is taken.
func TestASilentWatchAndItsSilentRenewal(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	asked := make(chan string, 100)
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			line, _ := bufio.NewReader(nc).ReadString('\n')
			asked <- line
			if i == 2 {
				text := page(2, false, host("e1", "127.0.0.1:1", "terminating", 0))
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}
	}()
	s := serveChanged(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) { c.Changelog = ln.Addr().String() },
		host("e1", "127.0.0.1:1", "in_service", 0))
	began := time.Now()
	for range 3 {
		if line := next(t, asked, "a call"); line != "GET /changes?since=1&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("asked %q", line)
		}
	}
	// The protocol counts what a silent log would have told as told 2 s after the end of the wait that was asked for.
	if took, most := time.Since(began), 2*(pollTimeout+2*time.Second); took > most {
		t.Fatalf("asked again after %v, and what was to be told counted as told after %v", took, most)
	}
	until(t, "the drain is known", func() bool { return !look(s, func(n *Server) bool { return n.reducer.Ready() }) })
}

// A connection that was asked and says nothing is closed with attempts out on it only where second copies are allowed: an
// engine that is cut off does not hear of the close and goes on.
func TestNoSecondCopyByClosingACutConnection(t *testing.T) {
	for _, c := range []struct{ probes, copies, closed bool }{
		{true, true, true}, {true, false, false}, {false, true, false}, {false, false, false},
	} {
		n, l, _ := quiet(t)
		limits := &n.cfg.Settings.Control.Limits
		limits.LoadProbes, limits.Hedging = c.probes, c.copies
		a := broker.AttemptID{Request: 1}
		n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: "1", Class: "lookup", Timeout: time.Minute, Priority: 1})
		l.markSent(int(l.queuedBytes)) // all of it has left
		up := n.pool.connsByEngine["e1"][0]
		up.lastReceived, up.suspectSince = time.Now().Add(-time.Minute), time.Now().Add(-2*livenessTimeout)
		n.pool.checkLiveness()
		if up.closed != c.closed || (len(n.pendingEvents) > 0) != c.closed {
			t.Errorf("%+v: closed %v, told %v", c, up.closed, n.pendingEvents)
		}
		n.pool.withdrawAttempt(a) // it has left, so it stays out
		if over := len(n.pool.inFlight) == 0; over != c.closed {
			t.Errorf("%+v: the attempt is over: %v", c, over)
		}
	}
}

// A client that rests until the broker ends it may ask in the very moment of the shutdown. What is read after that is not
// sent on: no answer could leave any more.
func TestWhatIsReadAfterTheShutdownIsNotSentOn(t *testing.T) {
	e := newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	c := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	c.want("rows ")
	s.node.inbox <- func() {
		s.node.beginShutdown()
		s.node.shutdown.requestedAt = time.Now().Add(-s.node.shutdown.acceptWindow)
	}
	c.want("closed")
	c.ask(query("lookup", 2, long, ""))
	err := next(t, s.done, "the broker's end")
	s.done <- err // for the clean-up
	if err != nil {
		t.Fatal(err)
	}
	next(t, e.closed, "the end of the connection to the engine")
	for len(e.got) > 0 {
		t.Errorf("the engine got %q", (<-e.got).parts)
	}
}

// A client that does not read what it is told ends at once for the reducer as well: what it asks while its connection
// comes to an end has no way back, and is not sent on.
func TestNothingMoreIsTakenOfAClientThatDoesNotRead(t *testing.T) {
	near, _ := pair(t)
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

// The list tells of an engine's restart late. A connection to the process before it is closed and what was out there is
// made again; one that was begun since is to the new process, and what is under way on it goes on.
func TestARestartThatIsToldLate(t *testing.T) {
	for name, c := range map[string]struct {
		born time.Duration // after the connection came up
		kept bool
	}{"restarted since": {10 * time.Millisecond, false}, "restarted before": {-time.Minute, true}} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t)
			s := serve(t, host("e1", e.addr, "in_service", 0))
			a := s.dial(query("lookup", 1, long, ""))
			w := e.next(t, "want")
			s.change(page(2, false, host("e1", e.addr, "in_service", time.Now().Add(c.born).UnixMilli())), 2)
			if !c.kept {
				next(t, e.closed, "the end of the old process's connection")
				w = e.next(t, "want")
			}
			w.reply(w.id(), "OK", "-", "x\ty\tz\n")
			a.want("rows x|y|z|")
			if conns := look(s, func(n *Server) int { return n.pool.connCount }); conns != 1 || len(e.got)+len(e.closed) > 0 {
				t.Fatalf("%d connections, %d more messages and %d more ends", conns, len(e.got), len(e.closed))
			}
		})
	}
}

// Where the limit of sockets allows no more connections to engines, the one idle longest makes room: engines that have
// none would else be held for out of order.
func TestAnIdleConnectionMakesRoomForAnotherEngine(t *testing.T) {
	e, o := newEngine(t), newEngine(t)
	s := serve(t, host("e1", e.addr, "in_service", 0))
	a := s.dial(query("lookup", 1, long, ""))
	w := e.next(t, "want")
	w.reply(w.id(), "OK", "-", "")
	a.want("rows ")
	look(s, func(n *Server) bool { n.pool.connCount = n.cfg.Sockets / engineSocketDivisor; return true })
	s.change(page(2, false, host("e1", e.addr, "terminating", 0), host("e2", o.addr, "in_service", 0)), 2)
	b := s.dial(query("lookup", 2, long, ""))
	w = o.next(t, "want")
	next(t, e.closed, "the end of the idle connection")
	if got := s.reasons(e.addr); got != string(EvictedIdle) {
		t.Fatalf("it ended as %s", got)
	}
	w.reply(w.id(), "OK", "-", "")
	b.want("rows ")
}

// With no idle connection to make room, an attempt never leaves, which says nothing against its engine.
func TestNoRoomForAnotherConnection(t *testing.T) {
	n, _, _ := quiet(t)
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	n.pool.startAttempt(broker.StartAttempt{Attempt: one, Engine: "e1", Addr: "a", RequestID: "1", Class: "lookup", Timeout: time.Second, Priority: 1})
	n.pool.connCount = n.cfg.Sockets / engineSocketDivisor
	n.pool.startAttempt(broker.StartAttempt{Attempt: two, Engine: "e2", Addr: "b", RequestID: "2", Class: "lookup", Timeout: time.Second, Priority: 1})
	if got, want := fmt.Sprint(n.pendingEvents), fmt.Sprint([]broker.Event{broker.AttemptEnded{Attempt: two, Status: control.AtCapacity}}); got != want {
		t.Fatalf("told: %s, want %s", got, want)
	}
}

// A deployment may let a connection take one attempt only. An engine still gets as many at once as it is sent.
func TestManyAttemptsWhereConnectionsTakeOne(t *testing.T) {
	e := newEngine(t)
	s := serveChanged(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) { c.Settings.MaxStreams = 1 },
		host("e1", e.addr, "in_service", 0))
	const clients = 2 * defaultConnsPerEngine
	conns := map[net.Conn]bool{}
	for i := range clients {
		s.dial(query("lookup", i+1, long, ""))
	}
	for range clients {
		conns[e.next(t, "want").conn] = true
	}
	if len(conns) != clients {
		t.Fatalf("%d attempts on %d connections", clients, len(conns))
	}
}

// A client that ends what it writes may still read. Nothing more is done for what it asked, as it can't be told from one
// that has left, and it is told so: refused where trying again is harmless, else failed. Then its connection ends.
func TestAHalfClosedClientIsAnswered(t *testing.T) {
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
			e := newEngine(t)
			health := "in_service"
			if !c.out {
				health = "terminating"
			}
			s := serve(t, host("e1", e.addr, health, 0))
			a := s.dial()
			if c.class != "" {
				a.ask(query(c.class, 1, long, ""))
				until(t, "it is taken", func() bool { return look(s, func(n *Server) bool { return n.reducer.OpenRequests() == 1 }) })
			}
			if c.out {
				e.next(t, "want")
			}
			if strings.HasPrefix(name, "two") {
				a.ask(query(c.class, 2, long, ""))
			}
			a.nc.(*net.TCPConn).CloseWrite()
			a.want(c.want)
			if strings.HasPrefix(name, "two") {
				a.want("1226")
			}
			if c.want != "closed" {
				a.want("closed")
			}
			if c.out {
				e.next(t, "never_mind")
			}
			until(t, "it is gone", func() bool {
				return look(s, func(n *Server) bool { return n.reducer.OpenRequests()+len(n.clients) == 0 })
			})
			if got := s.reasons(a.nc.LocalAddr().String()); got != string(PeerClosed) {
				t.Errorf("it ended as %s", got)
			}
		})
	}
}

// A client for which there is no room gets its refusal and an end in good order, though it has written already and nobody
// reads that.
func TestARefusalAtTheDoorOutlivesUnreadBytes(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write(append(loginAs("app"), packet(0, "\x03"+query("lookup", 1, long, ""))...)); err != nil {
		t.Fatal(err)
	}
	rejectConnection(near)
	c := newCustomer(t, far)
	c.want("1040")
	c.want("closed")
}

// A connection is closed from here as a request is on its way to the goroutine that writes: what is said never to have left,
// and may be sent elsewhere for that, does not leave any more. What has begun to leave counts as that.
func TestNothingLeavesAConnectionThatIsClosed(t *testing.T) {
	n, l, far := quiet(t)
	one, two := broker.AttemptID{Request: 1}, broker.AttemptID{Request: 2}
	ask := func(a broker.AttemptID) {
		n.pool.startAttempt(broker.StartAttempt{Attempt: a, Engine: "e1", Addr: "a", RequestID: fmt.Sprint(a.Request), Class: "once", Timeout: time.Second, Priority: 1})
	}
	ask(one)
	first := int(l.queuedBytes)
	l.nextBytes() // it is being written as the connection is closed
	ask(two)
	n.pool.closeConnections("e1", 0)
	want := fmt.Sprint([]broker.Event{broker.AttemptEnded{Attempt: one, Status: control.ConnectionReset}, broker.AttemptEnded{Attempt: two, Status: control.ConnectFailed, SharedCause: true}})
	if got := fmt.Sprint(n.pendingEvents); got != want {
		t.Errorf("told: %s, want %s", got, want)
	}
	l.closeAfterSent(&endError{Reason: Shutdown}) // the goroutine that writes comes to it ahead of the close
	go l.writeLoop(t.Context())
	if all, _ := io.ReadAll(far); len(all) != first {
		t.Errorf("the engine got %q", all)
	}
}
