// Package fleet plays a change log: it numbers changes of the list of engines and tells them over HTTP long polls, late,
// broken or not at all as a test wants it.
package changelogserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const longestPoll = 5 * time.Second

// Host is an engine as the change log tells of it.
type Host struct {
	ID     string `json:"host"`
	Addr   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"` // in_service, terminating or terminated
	Share  int    `json:"share"`
	BornMS int64  `json:"born_ms"` // 0: it started long ago
}

type event struct {
	Seq   int64 `json:"seq"`
	Fleet struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []Host `json:"hosts"`
	} `json:"fleet"`
	told time.Time // from when on it may be told
}

// ChangeLog is the change log.
type ChangeLog struct {
	mu      sync.Mutex
	events  []event
	changed chan struct{}
	late    time.Duration
	mode    Mode
	ln      net.Listener
	onTold  func(h Host, at time.Time)
}

// Mode is how the change log behaves.
type Mode string

// The modes.
const (
	Serve  Mode = "serve"
	Break  Mode = "break"  // each answer breaks off in the middle
	Stall  Mode = "stall"  // each answer stops in the middle, and the connection stays open
	Refuse Mode = "refuse" // status 503
)

// New returns a change log whose first event holds the whole list, and which listens at an address. onTold, if there
// is one, is called with each host of an event as that is first told to somebody.
func New(address string, hosts []Host, onTold func(h Host, at time.Time)) (*ChangeLog, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in change log: %w", err)
	}
	l := &ChangeLog{changed: make(chan struct{}), mode: Serve, ln: ln, onTold: onTold}
	l.add(true, hosts)
	return l, nil
}

// Addr is where it listens.
func (l *ChangeLog) Addr() string { return l.ln.Addr().String() }

// Change adds an event with what has changed.
func (l *ChangeLog) Change(hosts ...Host) { l.add(false, hosts) }

func (l *ChangeLog) add(whole bool, hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ev := event{Seq: int64(len(l.events) + 1), told: time.Now().Add(l.late)}
	ev.Fleet.Seq, ev.Fleet.Whole, ev.Fleet.Hosts = ev.Seq, whole, slices.Clone(hosts)
	for i := range ev.Fleet.Hosts {
		h := &ev.Fleet.Hosts[i]
		if h.Health == "" {
			h.Health = "in_service"
		}
	}
	l.events = append(l.events, ev)
	l.wake()
}

func (l *ChangeLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Late tells each later event so long after it happened.
func (l *ChangeLog) Late(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = d
}

// Set changes how it behaves from the next answer on.
func (l *ChangeLog) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.wake()
}

// Known is the page of all events so far, as a configuration holds it.
func (l *ChangeLog) Known() (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return page(l.events)
}

func page(events []event) (json.RawMessage, error) {
	seq := int64(0)
	if len(events) > 0 {
		seq = events[len(events)-1].Seq
	}
	if events == nil {
		events = []event{}
	}
	text, err := json.Marshal(struct {
		Seq     int64   `json:"seq"`
		Results []event `json:"results"`
	}{seq, events})
	if err != nil {
		return nil, fmt.Errorf("stand-in change log: %w", err)
	}
	return text, nil
}

// Run serves until ctx ends.
func (l *ChangeLog) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /changes", l.poll)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: longestPoll, BaseContext: func(net.Listener) context.Context { return ctx }}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stand-in change log: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return g.Wait()
}

// after are the events that may be told now with a number over since, when the next may be, and the signal of a change.
func (l *ChangeLog) after(since int64) (events []event, next time.Time, changed <-chan struct{}, mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, ev := range l.events {
		if ev.Seq <= since {
			continue
		}
		if ev.told.After(now) {
			next = ev.told
			break // events are told in order
		}
		events = append(events, ev)
	}
	return events, next, l.changed, l.mode
}

// poll answers GET /changes?since=N&timeout=MS.
func (l *ChangeLog) poll(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("timeout"))
	if errors.Join(err, err2) != nil || ms < 0 {
		http.Error(w, "since or timeout is no number", http.StatusBadRequest)
		return
	}
	end := time.Now().Add(min(longestPoll, time.Duration(ms)*time.Millisecond))
	for {
		events, next, changed, mode := l.after(since)
		if len(events) > 0 || !time.Now().Before(end) {
			l.answer(w, r, since, events, mode)
			return
		}
		wake := end
		if !next.IsZero() && next.Before(end) {
			wake = next
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Until(wake)):
		}
	}
}

// answer writes a page as the mode has it.
func (l *ChangeLog) answer(w http.ResponseWriter, r *http.Request, since int64, events []event, mode Mode) {
	if mode == Refuse {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	text, err := page(events)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(events) == 0 { // the number of the last stays
		text = fmt.Appendf(nil, `{"seq":%d,"results":[]}`, since)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if mode == Break || mode == Stall {
		w.Write(text[:len(text)/2]) //nolint:errcheck // it is broken on purpose
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if mode == Stall {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	if l.onTold != nil {
		for _, ev := range events {
			for _, h := range ev.Fleet.Hosts {
				l.onTold(h, time.Now())
			}
		}
	}
	w.Write(text) //nolint:errcheck // who does not read it asks again
}
