package endpointwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/changelog"
	"wheatlane/internal/server/netconn"
)

const testTimeout = 20 * time.Second // a test that waits so long has failed

// recordingSink takes pages, and passes on what it is notified of.
type recordingSink struct {
	pages chan changelog.Page
	ends  chan netconn.Reason
}

func newRecordingSink() *recordingSink {
	return &recordingSink{pages: make(chan changelog.Page, 1000), ends: make(chan netconn.Reason, 1000)}
}

func (s *recordingSink) EndpointsChanged(_ context.Context, page changelog.Page) bool {
	s.pages <- page
	return true
}

func (s *recordingSink) ConnectionEnded(_ string, _ time.Time, err error) {
	s.ends <- netconn.ReasonOf(err)
}

// busySink takes no page.
type busySink struct{ *recordingSink }

func (busySink) EndpointsChanged(ctx context.Context, _ changelog.Page) bool {
	<-ctx.Done()
	return false
}

// startWatcher runs a watcher from a revision on until the test ends.
func startWatcher(t *testing.T, addr string, revision int64) (*Watcher, *recordingSink) {
	t.Helper()
	sink := newRecordingSink()
	w := New(Config{Addr: addr, Revision: revision}, sink)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, ended, "the watcher's end"); !errors.Is(err, context.Canceled) {
			t.Errorf("ended with %v", err)
		}
	})
	return w, sink
}

// listenTCP returns a listener on loopback that is closed as the test ends.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// serveConns calls serve with each connection to a listener and its number, one after the other, until the
// listener is closed. Connections are closed as the test ends.
func serveConns(t *testing.T, listener net.Listener, serve func(number int, conn net.Conn)) {
	t.Helper()
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // serve may have closed it
			serve(number, conn)
		}
	}()
}

// receive takes from a channel, or fails.
func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

func endpointJSON(id, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":0}`, id, addr, health)
}

func pageJSON(revision int, endpoints ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":false,"hosts":[%s]}}]}`,
		revision, revision, strings.Join(endpoints, ","))
}

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
