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
	"wheatlane/internal/socktest"
)

// recordingSink accepts all pages and records pages and connection ends in channels.
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

// busySink accepts no page.
type busySink struct{ *recordingSink }

func (busySink) EndpointsChanged(ctx context.Context, _ changelog.Page) bool {
	<-ctx.Done()
	return false
}

// startWatcher runs a watcher that starts at a revision until the test ends.
func startWatcher(t *testing.T, addr string, revision int64) (*Watcher, *recordingSink) {
	t.Helper()
	sink := newRecordingSink()
	w := New(Config{Addr: addr, Revision: revision}, sink)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := socktest.Receive(t, ended, "the watcher's end"); !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v, want context.Canceled", err)
		}
	})
	return w, sink
}

func endpointJSON(id, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":0}`, id, addr, health)
}

func pageJSON(revision int, endpoints ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":false,"hosts":[%s]}}]}`,
		revision, revision, strings.Join(endpoints, ","))
}

// httpPage returns an HTTP response with a page of the change log.
func httpPage(page string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
}

// answerOnce serves connections one after another as a change log: it writes a response to each and keeps it open until
// the watcher closes it.
func answerOnce(t *testing.T, response string) (addr string) {
	t.Helper()
	listener := socktest.Listen(t)
	socktest.Serve(t, listener, func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, response) // the test checks the watcher's end of the poll
		_, _ = io.Copy(io.Discard, conn)
	})
	return listener.Addr().String()
}
