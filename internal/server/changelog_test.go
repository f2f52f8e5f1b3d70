package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
	"wheatlane/internal/server/netconn"
)

// httpPage is an HTTP response with a page of the change log.
func httpPage(page string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
}

// answerOnce serves the first connection of a change log: it writes a response and keeps the connection open.
func answerOnce(t *testing.T, response string) (addr string) {
	t.Helper()
	listener := listenTCP(t)
	serveConns(t, listener, func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, response) // the broker's end of the poll is what the test looks at
		_, _ = io.Copy(io.Discard, conn)
	})
	return listener.Addr().String()
}

// A page of the change log that the loop could not take before the poll ended is polled again.
func TestUndeliveredPageIsPolledAgain(t *testing.T) {
	addr := answerOnce(t, httpPage(pageJSON(2, false)))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // the page is read long before that
	defer cancel()
	s := &Server{inbox: make(chan func())} // whose loop takes nothing
	revision := int64(1)
	if err := s.poll(ctx, addr, &revision, &pollWaits{}); err == nil || revision != 1 {
		t.Fatalf("ended with %v, the next poll is from %d on", err, revision)
	}
}

// A change log that stops in the middle of an answer and stays open is polled again without waiting for the
// rest.
func TestPartialPageTimeout(t *testing.T) {
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":2,")
	revision := int64(1)
	err := (&Server{}).poll(t.Context(), addr, &revision, &pollWaits{})
	if got := netconn.ReasonOf(err); got != netconn.Stalled || revision != 1 {
		t.Fatalf("ended as %s, the next poll is from %d on", got, revision)
	}
}

// A change log that breaks off, refuses or answers nonsense is polled again from the last revision.
func TestFailingChangeLogIsPolledAgain(t *testing.T) {
	failures := []string{
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
		"",
	}
	polls := make(chan string, 1000)
	listener := listenTCP(t)
	serveConns(t, listener, func(number int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n') // a line that breaks off is found below
		polls <- line
		_, _ = io.WriteString(conn, failures[number%len(failures)])
		_ = conn.Close() // the broker polls again
	})
	s, err := New(t.Context(), config.Config{
		Listen: "127.0.0.1:0", Changelog: listener.Addr().String(), Sockets: 64,
		Known: changelog.Page{Revision: 41}, Settings: testSettings(t, time.Second),
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, nil) }()
	for range len(failures) + 1 {
		if line := receive(t, polls, "a poll"); line != "GET /changes?since=41&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("polled %q", line)
		}
	}
	cancel()
	if err := receive(t, ended, "the end"); err != nil {
		t.Fatal(err)
	}
}

// A change log whose revisions go back has nothing that can be used: its connection ends as malformed, the
// endpoint list that is known stays, and it is polled again.
func TestChangeLogRevisionGoesBack(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, listed("e1", e))
	s.publish(pageJSON(41, false, endpointJSON("e2", "127.0.0.1:1", "terminating", 0)), 41)
	s.changelog.pages <- pageJSON(3, true, endpointJSON("e9", "127.0.0.1:1", "in_service", 0))
	waitUntil(t, "the connection has ended as malformed", func() bool {
		return s.logs.FilterField(zap.String("reason", string(netconn.Malformed))).Len() > 0
	})
	s.publish(pageJSON(42, false, endpointJSON("e2", "127.0.0.1:1", "terminated", 0)), 42)
	if got := inLoop(s, func(server *Server) int { return server.reducer.EndpointCount() }); got != 1 {
		t.Fatalf("%d engines are known, want e1 alone", got)
	}
	s.serveOn(e, 1)
}

// A change log that answers at once though it has nothing new is polled again after pauses that grow.
func TestChangeLogThatAnswersAtOnce(t *testing.T) {
	s := startServer(t)
	receive(t, s.changelog.polls, "a poll")
	start := time.Now()
	shortest := time.Duration(0)
	for i := range 4 {
		s.changelog.pages <- `{"seq":1,"results":[]}`
		receive(t, s.changelog.polls, "another poll")
		shortest += time.Duration((1 - pollBackoffSpread) * float64(minPollBackoff<<i))
	}
	if took := time.Since(start); took < shortest {
		t.Fatalf("four empty answers took %v, and the pauses are at least %v", took, shortest)
	}
}

// A poll that is silent from its start, and the silent one after it, cost no more than their timeouts: the
// third one is from the same revision, and its answer counts.
func TestSilentPollIsRetriedInTime(t *testing.T) {
	polls := make(chan string, 100)
	listener := listenTCP(t)
	serveConns(t, listener, func(number int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n') // a line that breaks off is found below
		polls <- line
		if number == 2 {
			page := pageJSON(2, false, endpointJSON("e1", "127.0.0.1:1", "terminating", 0))
			_, _ = io.WriteString(conn, httpPage(page)) // the test waits for what the broker makes of it
		}
	})
	atListener := func(c *config.Config) { c.Changelog = listener.Addr().String() }
	s := startServerWith(t, serverOptions{configure: atListener},
		endpointJSON("e1", "127.0.0.1:1", "in_service", 0))
	start := time.Now()
	for range 3 {
		if line := receive(t, polls, "a poll"); line != "GET /changes?since=1&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("polled %q", line)
		}
	}
	// The protocol counts an event of a silent log as published 2 s after the end of the poll's timeout.
	if took, limit := time.Since(start), 2*(pollTimeout+2*time.Second); took > limit {
		t.Fatalf("polled again after %v, and its event counts as published after %v", took, limit)
	}
	waitUntil(t, "the drain is known", func() bool {
		return !inLoop(s, func(server *Server) bool { return server.reducer.Ready() })
	})
}

// Brokers that lose the change log at once poll it again at times spread apart, not in step, and never
// later than the longest pause and its spread allow.
func TestPollBackoffIsSpread(t *testing.T) {
	first, second := newPollBackoff(), newPollBackoff()
	same := 0
	for i := range 20 {
		a, b := first.NextBackOff(), second.NextBackOff()
		for _, pause := range []time.Duration{a, b} {
			shortest := time.Duration(float64(min(maxPollBackoff, minPollBackoff<<i)) * (1 - pollBackoffSpread))
			if pause < shortest || pause > time.Duration(float64(maxPollBackoff)*(1+pollBackoffSpread)) {
				t.Fatalf("pause %d: %v, out of its bounds", i, pause)
			}
		}
		if a == b {
			same++
		}
	}
	if same > 1 {
		t.Fatalf("%d of 20 pauses were the same for two brokers", same)
	}
}

// A change log that takes longer for each answer than a poll waits at first, as one that is crowded, is waited for
// longer from poll to poll, and so is one whose answers come slowly.
func TestSlowChangeLogIsHeard(t *testing.T) {
	const step = pollTimeout + pollGrace + pollGrace/2 // more than the first poll waits, less than the last
	page := httpPage(pageJSON(2, false, endpointJSON("e1", "127.0.0.1:1", "terminating", 0)))
	for name, pieces := range map[string][]string{
		"late":   {"", page},
		"slowly": {page[:len(page)/3], page[len(page)/3 : len(page)/2], page[len(page)/2:]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wait := step
			if len(pieces) > 2 {
				wait = partialPageTimeout
			}
			listener := listenTCP(t)
			serveConns(t, listener, func(_ int, conn net.Conn) {
				go func() {
					_, _ = bufio.NewReader(conn).ReadString('\n') // a broker that gave up is served in vain
					for i, piece := range pieces {
						if i > 0 {
							<-time.After(wait) // that is how slow it is
						}
						_, _ = io.WriteString(conn, piece)
					}
				}()
			})
			atListener := func(c *config.Config) { c.Changelog = listener.Addr().String() }
			s := startServerWith(t, serverOptions{configure: atListener},
				endpointJSON("e1", "127.0.0.1:1", "in_service", 0))
			waitUntil(t, "the drain is known", func() bool {
				return !inLoop(s, func(server *Server) bool { return server.reducer.Ready() })
			})
		})
	}
}

// The waits grow with each loss and fall after a run of answers.
func TestPollWaits(t *testing.T) {
	var w pollWaits
	first := w.current()
	w.lost()
	second := w.current()
	w.lost()
	w.lost()
	last := w.current()
	if second.grace <= first.grace || last.grace <= second.grace || last.partial <= second.partial ||
		last.connect < second.connect {
		t.Errorf("waits %v, %v, %v do not grow", first, second, last)
	}
	for range answersToShorten {
		w.answered()
	}
	if w.current() != second {
		t.Errorf("after a run of answers the waits are %v", w.current())
	}
	w.answered()
	w.lost()
	if w.current() != last {
		t.Errorf("after a loss the waits are %v", w.current())
	}
}
