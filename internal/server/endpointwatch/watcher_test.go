package endpointwatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// A page of the change log that the sink could not take before the poll ended is polled again.
func TestUndeliveredPageIsPolledAgain(t *testing.T) {
	addr := answerOnce(t, httpPage(pageJSON(2)))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // the page is read long before that
	defer cancel()
	w := New(Config{Revision: 1}, busySink{})
	if err := w.poll(ctx, addr); err == nil || w.revision != 1 {
		t.Fatalf("ended with %v, the next poll is from %d on", err, w.revision)
	}
}

// A change log that stops in the middle of an answer and stays open is polled again without waiting for the
// rest.
func TestPartialPageTimeout(t *testing.T) {
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":2,")
	w := New(Config{Revision: 1}, newRecordingSink())
	err := w.poll(t.Context(), addr)
	if got := netconn.ReasonOf(err); got != netconn.Stalled || w.revision != 1 {
		t.Fatalf("ended as %s, the next poll is from %d on", got, w.revision)
	}
}

// A change log that breaks off, refuses or answers nonsense is polled again from the last revision.
func TestFailingChangeLogIsPolledAgain(t *testing.T) {
	failures := []struct {
		response string
		reason   netconn.Reason
	}{
		{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", netconn.HTTPStatus},
		{"nonsense\r\n\r\n", netconn.Malformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", netconn.Malformed},
		{"", netconn.PeerClosed},
	}
	polls := make(chan string, 1000)
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(number int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n') // a line that breaks off is found below
		polls <- line
		_, _ = io.WriteString(conn, failures[number%len(failures)].response)
		_ = conn.Close() // the broker polls again
	})
	w, sink := startWatcher(t, listener.Addr().String(), 41)
	for i := range len(failures) + 1 {
		if line := socktest.Receive(t, polls, "a poll"); line != "GET /changes?since=41&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("polled %q", line)
		}
		// The rest of the request may be unread as the change log closes, which resets the connection.
		got := socktest.Receive(t, sink.ends, "the end of the connection")
		if want := failures[i%len(failures)].reason; got != want && got != netconn.PeerReset {
			t.Errorf("the connection of poll %d ended as %s, want %s", i, got, want)
		}
	}
	if polls := w.Polls(); polls < uint64(len(failures)+1) {
		t.Errorf("%d polls are counted", polls)
	}
}

// A change log that answers at once though it has nothing new is polled again after pauses that grow.
func TestChangeLogThatAnswersAtOnce(t *testing.T) {
	polls, answers := make(chan string, 1000), make(chan string)
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(_ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return // the watcher has ended
			}
			if line == "\r\n" { // the end of a poll
				polls <- line
				_, _ = io.WriteString(conn, <-answers) // the next poll is what the test waits for
			}
		}
	})
	startWatcher(t, listener.Addr().String(), 1)
	socktest.Receive(t, polls, "a poll")
	start := time.Now()
	shortest := time.Duration(0)
	for i := range 4 {
		answers <- httpPage(`{"seq":1,"results":[]}`)
		socktest.Receive(t, polls, "another poll")
		shortest += time.Duration((1 - pollBackoffSpread) * float64(minPollBackoff<<i))
	}
	if took := time.Since(start); took < shortest {
		t.Fatalf("four empty answers took %v, and the pauses are at least %v", took, shortest)
	}
	close(answers)
}

// A poll that is silent from its start, and the silent one after it, cost no more than their timeouts: the
// third one is from the same revision, and its answer counts.
func TestSilentPollIsRetriedInTime(t *testing.T) {
	polls := make(chan string, 100)
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(number int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n') // a line that breaks off is found below
		polls <- line
		if number == 2 {
			page := pageJSON(2, endpointJSON("e1", "127.0.0.1:1", "terminating"))
			_, _ = io.WriteString(conn, httpPage(page)) // the test waits for what the watcher makes of it
		}
	})
	_, sink := startWatcher(t, listener.Addr().String(), 1)
	start := time.Now()
	for range 3 {
		if line := socktest.Receive(t, polls, "a poll"); line != "GET /changes?since=1&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("polled %q", line)
		}
	}
	// The protocol counts an event of a silent log as published 2 s after the end of the poll's timeout.
	if took, limit := time.Since(start), 2*(pollTimeout+2*time.Second); took > limit {
		t.Fatalf("polled again after %v, and its event counts as published after %v", took, limit)
	}
	if page := socktest.Receive(t, sink.pages, "the page"); page.Revision != 2 {
		t.Errorf("got page %+v", page)
	}
}

// A change log that takes longer for each answer than a poll waits at first, as one that is saturated, is waited for
// longer from poll to poll, and so is one whose answers come slowly.
func TestSlowChangeLogIsFollowed(t *testing.T) {
	const step = pollTimeout + pollGrace + pollGrace/2 // more than the first poll waits, less than the last
	page := httpPage(pageJSON(2, endpointJSON("e1", "127.0.0.1:1", "terminating")))
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
			listener := socktest.Listen(t)
			socktest.Serve(t, listener, func(_ int, conn net.Conn) {
				go func() {
					_, _ = bufio.NewReader(conn).ReadString('\n') // a watcher that gave up is served in vain
					for i, piece := range pieces {
						if i > 0 {
							<-time.After(wait) // that is how slow it is
						}
						_, _ = io.WriteString(conn, piece)
					}
				}()
			})
			_, sink := startWatcher(t, listener.Addr().String(), 1)
			if page := socktest.Receive(t, sink.pages, "the page"); page.Revision != 2 {
				t.Errorf("got page %+v", page)
			}
		})
	}
}

// At a new address the change log is polled at once, from the last revision that was taken.
func TestSetAddr(t *testing.T) {
	polls := make(chan string, 1000)
	serve := func(response string) (addr string) {
		listener := socktest.Listen(t)
		socktest.Serve(t, listener, func(_ int, conn net.Conn) {
			line, _ := bufio.NewReader(conn).ReadString('\n') // a line that breaks off is found below
			polls <- line
			_, _ = io.WriteString(conn, response) // what follows is what the test looks at
		})
		return listener.Addr().String()
	}
	first, second := serve(httpPage(pageJSON(7))), serve("")
	w, sink := startWatcher(t, first, 1)
	socktest.Receive(t, polls, "a poll of the first")
	socktest.Receive(t, sink.pages, "the page")
	w.SetAddr(first) // changes nothing
	w.SetAddr(second)
	if got := socktest.Receive(t, sink.ends, "the end of the first poll"); got != netconn.AddressChanged {
		t.Errorf("the poll ended as %s", got)
	}
	line := socktest.Receive(t, polls, "a poll of the second")
	if line != "GET /changes?since=7&timeout=1000 HTTP/1.1\r\n" {
		t.Errorf("polled %q", line)
	}
}
