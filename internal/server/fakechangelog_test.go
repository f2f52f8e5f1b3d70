package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wheatlane/internal/changelog"
)

// fakeChangelog is a change log whose responses are sent by the test.
type fakeChangelog struct {
	addr  string
	polls chan string // query strings received
	pages chan string // responses to send
}

// newFakeChangelog serves a change log until the test ends.
func newFakeChangelog(t *testing.T) *fakeChangelog {
	t.Helper()
	l := &fakeChangelog{polls: make(chan string, 1000), pages: make(chan string)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.polls <- r.URL.RawQuery
		select {
		case page := <-l.pages:
			_, _ = io.WriteString(w, page) // the broker may have ended the poll
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	l.addr = s.Listener.Addr().String()
	return l
}

func endpointJSON(id, addr, health string, bornMS int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":%d}`, id, addr, health, bornMS)
}

// inService returns the entry of an engine that is in service and started long ago.
func inService(id string, e *fakeEngine) string { return endpointJSON(id, e.addr, "in_service", 0) }

func pageJSON(revision int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":%v,"hosts":[%s]}}]}`,
		revision, revision, snapshot, strings.Join(endpoints, ","))
}

func parsePage(t *testing.T, text string) changelog.Page {
	t.Helper()
	page, err := changelog.ParsePage([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return page
}
