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

// A page that the sink could not accept before the poll ended is polled again.
func TestUndeliveredPageIsPolledAgain(t *testing.T) {
	addr := answerOnce(t, httpPage(pageJSON(2)))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond) // the page is read well before
	defer cancel()
	w := New(Config{Revision: 1}, busySink{})
	if err := w.poll(ctx, addr); err == nil || w.revision != 1 {
		t.Fatalf("ended with %v, the next poll starts at revision %d, want 1", err, w.revision)
	}
}

// A change log that stops in the middle of a response and keeps the connection open is polled again without waiting
// for the rest of the response.
func TestPartialPageTimeout(t *testing.T) {
	addr := answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":2,")
	w := New(Config{Revision: 1}, newRecordingSink())
	err := w.poll(t.Context(), addr)
	if got := netconn.ReasonOf(err); got != netconn.Stalled || w.revision != 1 {
		t.Fatalf("ended with reason %s, want %s; the next poll starts at revision %d, want 1",
			got, netconn.Stalled, w.revision)
	}
}

// A change log that aborts, reports an error or sends malformed responses is polled again from the last revision.
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
		line, _ := bufio.NewReader(conn).ReadString('\n') // a truncated line is detected below
		polls <- line
		_, _ = io.WriteString(conn, failures[number%len(failures)].response)
		_ = conn.Close() // the watcher polls again
	})
	w, sink := startWatcher(t, listener.Addr().String(), 41)
	for i := range len(failures) + 1 {
		if line := socktest.Receive(t, polls, "a poll"); line != "GET /changes?since=41&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("request line %q", line)
		}
		// If the rest of the request is unread when the change log closes, the connection is reset.
		got := socktest.Receive(t, sink.ends, "the end of the connection")
		if want := failures[i%len(failures)].reason; got != want && got != netconn.PeerReset {
			t.Errorf("the connection of poll %d ended with reason %s, want %s", i, got, want)
		}
	}
	if polls := w.Polls(); polls < uint64(len(failures)+1) {
		t.Errorf("counted %d polls, want at least %d", polls, len(failures)+1)
	}
}

// A change log that responds immediately without a new revision is polled again after increasing delays. Without them
// the watcher would poll in a busy loop.
func TestEarlyResponsesAreDelayedWithBackoff(t *testing.T) {
	polls, responses := make(chan string, 1000), make(chan string)
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(_ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return // the watcher has stopped
			}
			if line == "\r\n" { // the end of a poll
				polls <- line
				_, _ = io.WriteString(conn, <-responses) // the test waits for the next poll
			}
		}
	})
	startWatcher(t, listener.Addr().String(), 1)
	socktest.Receive(t, polls, "a poll")
	start := time.Now()
	shortest := time.Duration(0)
	for i := range 4 {
		responses <- httpPage(`{"seq":1,"results":[]}`)
		socktest.Receive(t, polls, "another poll")
		shortest += time.Duration((1 - pollBackoffJitter) * float64(minPollBackoff<<i))
	}
	if took := time.Since(start); took < shortest {
		t.Fatalf("polls after four empty responses took %v, want at least %v", took, shortest)
	}
	close(responses)
}

// Two consecutive polls without a response delay the watcher by their timeouts only: the third poll is sent in time,
// starts at the same revision, and its response is accepted.
func TestUnansweredPollIsRetriedInTime(t *testing.T) {
	polls := make(chan string, 100)
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(number int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n') // a truncated line is detected below
		polls <- line
		if number == 2 {
			page := pageJSON(2, endpointJSON("e1", "127.0.0.1:1", "terminating"))
			_, _ = io.WriteString(conn, httpPage(page)) // the test waits for the page at the sink
		}
	})
	_, sink := startWatcher(t, listener.Addr().String(), 1)
	start := time.Now()
	for range 3 {
		if line := socktest.Receive(t, polls, "a poll"); line != "GET /changes?since=1&timeout=1000 HTTP/1.1\r\n" {
			t.Fatalf("request line %q", line)
		}
	}
	// By the protocol, an event of an unresponsive change log counts as published 2 s after the poll's timeout.
	if took, limit := time.Since(start), 2*(pollTimeout+2*time.Second); took > limit {
		t.Fatalf("third poll sent after %v, want at most %v", took, limit)
	}
	if page := socktest.Receive(t, sink.pages, "the page"); page.Revision != 2 {
		t.Errorf("got page %+v", page)
	}
}

// A change log that takes longer than the shortest timeouts to respond, as when it is saturated, or that sends its
// responses slowly is followed, because the timeouts grow from poll to poll.
func TestTimeoutsAdaptToSlowChangeLog(t *testing.T) {
	const step = pollTimeout + pollGrace + pollGrace/2 // longer than the shortest poll deadline, shorter than the longest
	page := httpPage(pageJSON(2, endpointJSON("e1", "127.0.0.1:1", "terminating")))
	for name, fragments := range map[string][]string{
		"late response":       {"", page},
		"fragmented response": {page[:len(page)/3], page[len(page)/3 : len(page)/2], page[len(page)/2:]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wait := step
			if len(fragments) > 2 {
				wait = partialPageTimeout
			}
			listener := socktest.Listen(t)
			socktest.Serve(t, listener, func(_ int, conn net.Conn) {
				go func() {
					_, _ = bufio.NewReader(conn).ReadString('\n') // the watcher may have closed the connection
					for i, fragment := range fragments {
						if i > 0 {
							<-time.After(wait) // delay of the simulated change log
						}
						_, _ = io.WriteString(conn, fragment)
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

// After a change of address the change log is polled there immediately, from the last accepted revision.
func TestSetAddr(t *testing.T) {
	polls := make(chan string, 1000)
	serve := func(response string) (addr string) {
		listener := socktest.Listen(t)
		socktest.Serve(t, listener, func(_ int, conn net.Conn) {
			line, _ := bufio.NewReader(conn).ReadString('\n') // a truncated line is detected below
			polls <- line
			_, _ = io.WriteString(conn, response) // the test checks how the watcher continues
		})
		return listener.Addr().String()
	}
	first, second := serve(httpPage(pageJSON(7))), serve("")
	w, sink := startWatcher(t, first, 1)
	socktest.Receive(t, polls, "a poll to the first address")
	socktest.Receive(t, sink.pages, "the page")
	w.SetAddr(first) // no change
	w.SetAddr(second)
	if got := socktest.Receive(t, sink.ends, "the end of the first poll"); got != netconn.AddressChanged {
		t.Errorf("the poll ended with reason %s, want %s", got, netconn.AddressChanged)
	}
	line := socktest.Receive(t, polls, "a poll to the second address")
	if line != "GET /changes?since=7&timeout=1000 HTTP/1.1\r\n" {
		t.Errorf("request line %q", line)
	}
}
