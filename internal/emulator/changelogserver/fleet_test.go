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

func serve(t *testing.T, l *ChangeLog) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func get(t *testing.T, l *ChangeLog, since, timeout int) (string, error) {
	t.Helper()
	res, err := http.Get(fmt.Sprintf("http://%s/changes?since=%d&timeout=%d", l.Addr(), since, timeout))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// What it tells is what a broker reads: first the whole list, then what changed, by number.
func TestABrokerReadsIt(t *testing.T) {
	l, err := New("127.0.0.1:0", []Host{{ID: "a", Addr: "127.0.0.1:1"}, {ID: "b", Addr: "127.0.0.1:2"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l)
	known, err := l.Known()
	if err != nil {
		t.Fatal(err)
	}
	p, err := changelog.ParsePage(known)
	if err != nil || p.Revision != 1 || !p.Changes[0].Snapshot || len(p.Changes[0].Endpoints) != 2 {
		t.Fatalf("%+v, %v", p, err)
	}
	if text, err := get(t, l, 1, 10); err != nil || text != `{"seq":1,"results":[]}` {
		t.Fatalf("nothing new: %s, %v", text, err)
	}
	answer := make(chan string, 1)
	go func() {
		text, _ := get(t, l, 1, 5000) // waits
		answer <- text
	}()
	l.Change(Host{ID: "a", Addr: "127.0.0.1:1", Health: "terminating"})
	p, err = changelog.ParsePage([]byte(<-answer))
	if err != nil || p.Revision != 2 || p.Changes[0].Snapshot || p.Changes[0].Endpoints[0].ID != "a" {
		t.Fatalf("%+v, %v", p, err)
	}
}

func TestFaults(t *testing.T) {
	l, err := New("127.0.0.1:0", []Host{{ID: "a", Addr: "127.0.0.1:1"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l)
	l.Set(Break)
	if text, err := get(t, l, 0, 10); err == nil || !strings.HasPrefix(text, `{"seq":1`) {
		t.Errorf("broken off: %q, %v", text, err)
	}
	l.Set(Refuse)
	if text, err := get(t, l, 0, 10); err != nil || !strings.Contains(text, "not now") {
		t.Errorf("refused: %q, %v", text, err)
	}
	l.Set(Serve)
	l.Late(time.Hour)
	l.Change(Host{ID: "b", Addr: "127.0.0.1:2"})
	if text, err := get(t, l, 1, 10); err != nil || text != `{"seq":1,"results":[]}` {
		t.Errorf("told ahead of its time: %q, %v", text, err)
	}
}

func TestListsInFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "engines.json")
	was := []Host{{ID: "a", Addr: "x:1", Health: "in_service"}, {ID: "b", Addr: "x:2", Health: "in_service"}, {ID: "c", Addr: "x:3", Health: "in_service"}}
	if err := WriteFile(path, was); err != nil {
		t.Fatal(err)
	}
	now, err := ReadFile(path)
	if diff := cmp.Diff(was, now); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
	now[0].Health = "terminating"
	now = append(now[:1], now[2], Host{ID: "d", Addr: "x:4", Health: "in_service"})
	want := []Host{{ID: "a", Addr: "x:1", Health: "terminating"}, {ID: "d", Addr: "x:4", Health: "in_service"}, {ID: "b", Addr: "x:2", Health: "terminated"}}
	if diff := cmp.Diff(want, Changed(was, now)); diff != "" {
		t.Fatal(diff)
	}
}
