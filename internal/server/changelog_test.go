package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
)

// A page of the change log that the reducer could not take before the poll ended is asked for again.
func TestUndeliveredPageIsPolledAgain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	body := pageJSON(2, false)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		io.Copy(io.Discard, nc)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // the page is read long before that
	defer cancel()
	n := &Server{inbox: make(chan func())} // whose reducer takes nothing
	since := int64(1)
	if err := n.poll(ctx, ln.Addr().String(), &since); err == nil || since != 1 {
		t.Fatalf("ended with %v, the next poll asks since %d", err, since)
	}
}

// A change log that stops in the middle of an event and stays open is asked again without waiting for its answer.
func TestPartialPageTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":2,")
		io.Copy(io.Discard, nc)
	}()
	since := int64(1)
	err = (&Server{}).poll(t.Context(), ln.Addr().String(), &since)
	if got := reasonOf(err); got != Stalled || since != 1 {
		t.Fatalf("ended as %s, the next poll asks since %d", got, since)
	}
}

// A change log that breaks off, refuses or talks nonsense is asked again from the last change.
func TestFailingChangeLogIsPolledAgain(t *testing.T) {
	var mu sync.Mutex
	var asked []string
	done := make(chan struct{})
	bad := []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", ""}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(nc).ReadString('\n')
			mu.Lock()
			asked = append(asked, line)
			mu.Unlock()
			if i == len(bad) {
				close(done)
			}
			io.WriteString(nc, bad[i%len(bad)])
			nc.Close()
		}
	}()
	set, err := config.DecodeSettings(fmt.Appendf(nil, settingsJSON, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n, err := New(ctx, config.Config{
		Listen: "127.0.0.1:0", Changelog: ln.Addr().String(), Sockets: 64,
		Known: changelog.Page{Revision: 41}, Settings: set,
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, nil) }()
	receive(t, done, "another poll")
	cancel()
	if err := receive(t, ended, "the end"); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, line := range asked[:len(bad)+1] {
		if line != "GET /changes?since=41&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("asked %q", line)
		}
	}
}

// A change log whose numbers go back tells nothing that can be used: its connection ends with a code, the picture that
// is known stays, and it is asked again.
func TestChangeLogRevisionGoesBack(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, endpointJSON("e1", e.addr, "in_service", 0))
	s.publish(pageJSON(41, false, endpointJSON("e2", "127.0.0.1:1", "terminating", 0)), 41)
	s.changelog.pages <- pageJSON(3, true, endpointJSON("e9", "127.0.0.1:1", "in_service", 0))
	waitUntil(t, "the connection has ended as one that can't be read", func() bool {
		return s.logs.FilterField(zap.String("reason", string(Malformed))).Len() > 0
	})
	s.publish(pageJSON(42, false, endpointJSON("e2", "127.0.0.1:1", "terminated", 0)), 42)
	if got := inLoop(s, func(n *Server) int { return n.reducer.EndpointCount() }); got != 1 {
		t.Fatalf("%d engines are known, want e1 alone", got)
	}
	c := s.connect(statement("lookup", 1, longTimeout, ""))
	w := e.expect(t, "want")
	w.reply(w.requestID(), "OK", "-", "")
	c.expect("rows ")
}

// A change log that answers at once though it has nothing new is asked again after pauses that grow, not on and on.
func TestChangeLogThatAnswersAtOnce(t *testing.T) {
	s := startServer(t)
	receive(t, s.changelog.polls, "a poll")
	began := time.Now()
	least := time.Duration(0)
	for i := range 4 {
		s.changelog.pages <- `{"seq":1,"results":[]}`
		receive(t, s.changelog.polls, "another poll")
		least += time.Duration((1 - pollBackoffSpread) * float64(minPollBackoff<<i))
	}
	if took := time.Since(began); took < least {
		t.Fatalf("four empty answers took %v, and the pauses are at least %v", took, least)
	}
}

// A watch that is silent from its start, and whose renewal is silent as well, costs no more than their times: the third
// call is made from the same number, and what it tells is taken.
func TestSilentPollIsRetriedInTime(t *testing.T) {
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
				text := pageJSON(2, false, endpointJSON("e1", "127.0.0.1:1", "terminating", 0))
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}
	}()
	s := startConfigured(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) { c.Changelog = ln.Addr().String() },
		endpointJSON("e1", "127.0.0.1:1", "in_service", 0))
	began := time.Now()
	for range 3 {
		if line := receive(t, asked, "a call"); line != "GET /changes?since=1&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("asked %q", line)
		}
	}
	// The protocol counts what a silent log would have told as told 2 s after the end of the wait that was asked for.
	if took, most := time.Since(began), 2*(pollTimeout+2*time.Second); took > most {
		t.Fatalf("asked again after %v, and what was to be told counted as told after %v", took, most)
	}
	waitUntil(t, "the drain is known", func() bool { return !inLoop(s, func(n *Server) bool { return n.reducer.Ready() }) })
}

// Brokers that lose the change log at once call it again at times spread apart, not in step, and never later than
// the longest pause and its spread allow. Guards against a fleet's brokers calling a change log that is back all at
// the same moments.
func TestPollBackoffIsSpread(t *testing.T) {
	first, second := newPollBackoff(), newPollBackoff()
	same := 0
	for i := range 20 {
		a, b := first.NextBackOff(), second.NextBackOff()
		for _, p := range []time.Duration{a, b} {
			least := time.Duration(float64(min(maxPollBackoff, minPollBackoff<<i)) * (1 - pollBackoffSpread))
			if p < least || p > time.Duration(float64(maxPollBackoff)*(1+pollBackoffSpread)) {
				t.Fatalf("pause %d: %v, out of its bounds", i, p)
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
