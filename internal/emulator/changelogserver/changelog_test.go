package changelogserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/changelog"
)

// newServer runs a change log with a list of endpoints until the test ends.
func newServer(t *testing.T, endpoints ...Endpoint) *ChangeLog {
	t.Helper()
	l, err := New("127.0.0.1:0", endpoints, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

// poll returns the response to a poll, as far as it was received.
func poll(t *testing.T, l *ChangeLog, since, timeoutMS int) (string, error) {
	t.Helper()
	url := fmt.Sprintf("http://%s/changes?since=%d&timeout=%d", l.Addr(), since, timeoutMS)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close() // the body has been read
	return string(body), err
}

// The broker's parser must accept the pages: the snapshot first, then changes in the order of their revisions.
func TestBrokerParsesServedPages(t *testing.T) {
	l := newServer(t, Endpoint{ID: "a", Addr: "127.0.0.1:1"}, Endpoint{ID: "b", Addr: "127.0.0.1:2"})
	known, err := l.KnownPage()
	if err != nil {
		t.Fatal(err)
	}
	p, err := changelog.ParsePage(known)
	if err != nil || p.Revision != 1 || !p.Changes[0].Snapshot || len(p.Changes[0].Endpoints) != 2 {
		t.Fatalf("page %+v, error %v, want a snapshot of 2 endpoints", p, err)
	}
	if text, err := poll(t, l, 1, 10); err != nil || text != `{"seq":1,"results":[]}` {
		t.Fatalf("poll without new events: got %s, error %v; want an empty page", text, err)
	}
	answer := make(chan string, 1)
	go func() {
		text, _ := poll(t, l, 1, 5000) // waits for the next event
		answer <- text
	}()
	l.Publish(Endpoint{ID: "a", Addr: "127.0.0.1:1", Health: Terminating})
	p, err = changelog.ParsePage([]byte(<-answer))
	if err != nil || p.Revision != 2 || p.Changes[0].Snapshot || p.Changes[0].Endpoints[0].ID != "a" {
		t.Fatalf("page %+v, error %v, want a change of endpoint a", p, err)
	}
}

func TestFaultModesAffectPolls(t *testing.T) {
	l := newServer(t, Endpoint{ID: "a", Addr: "127.0.0.1:1"})
	l.SetMode(Truncating)
	if text, err := poll(t, l, 0, 10); err == nil || !strings.HasPrefix(text, `{"seq":1`) {
		t.Errorf("truncated: got %q, error %v; want the start of a page and an error", text, err)
	}
	l.SetMode(Unavailable)
	if text, err := poll(t, l, 0, 10); err != nil || !strings.Contains(text, "not now") {
		t.Errorf("unavailable: got %q, error %v; want the text \"not now\"", text, err)
	}
	l.SetMode(Serve)
	l.SetDelay(time.Hour)
	l.Publish(Endpoint{ID: "b", Addr: "127.0.0.1:2"})
	if text, err := poll(t, l, 1, 10); err != nil || text != `{"seq":1,"results":[]}` {
		t.Errorf("delayed event: got %q, error %v; want an empty page", text, err)
	}
}

func TestEndpointListFileRoundTripAndDiff(t *testing.T) {
	path := filepath.Join(t.TempDir(), "engines.json")
	earlier := []Endpoint{
		{ID: "a", Addr: "x:1", Health: InService},
		{ID: "b", Addr: "x:2", Health: InService},
		{ID: "c", Addr: "x:3", Health: InService},
	}
	if err := WriteFile(path, earlier); err != nil {
		t.Fatal(err)
	}
	current, err := ReadFile(path)
	if diff := cmp.Diff(earlier, current); diff != "" || err != nil {
		t.Fatalf("list read from the file differs (-want +got), error %v:\n%s", err, diff)
	}
	current[0].Health = Terminating
	current = append(current[:1], current[2], Endpoint{ID: "d", Addr: "x:4", Health: InService})
	want := []Endpoint{
		{ID: "a", Addr: "x:1", Health: Terminating},
		{ID: "d", Addr: "x:4", Health: InService},
		{ID: "b", Addr: "x:2", Health: Terminated},
	}
	if diff := cmp.Diff(want, Diff(earlier, current)); diff != "" {
		t.Fatalf("changed endpoints differ (-want +got):\n%s", diff)
	}
}
