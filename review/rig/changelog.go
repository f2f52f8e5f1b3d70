package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list of engines.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

type fleet struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

type event struct {
	Seq   int64 `json:"seq"`
	Fleet fleet `json:"fleet"`
}

// Page is the answer of the change log, and the form of the configuration's 'known'.
type Page struct {
	Seq     int64   `json:"seq"`
	Results []event `json:"results"`
}

// Changelog is a change log on loopback.
type Changelog struct {
	listener net.Listener
	mu       sync.Mutex
	events   []event
	changed  chan struct{}
}

// NewChangelog returns a change log that serves; hosts are its first event.
func NewChangelog(hosts []Host) (*Changelog, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Changelog{listener: listener, changed: make(chan struct{})}
	c.events = []event{{1, fleet{1, true, hosts}}}
	go func() { _ = http.Serve(listener, c) }()
	return c, nil
}

// Addr returns the address of the change log.
func (c *Changelog) Addr() string { return c.listener.Addr().String() }

// Add adds an event with changed entries and returns the time from which it counts.
func (c *Changelog) Add(hosts ...Host) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := int64(len(c.events) + 1)
	c.events = append(c.events, event{seq, fleet{seq, false, hosts}})
	close(c.changed)
	c.changed = make(chan struct{})
	return time.Now()
}

// Since returns the page of the events after a number.
func (c *Changelog) Since(n int64) Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := Page{Seq: int64(len(c.events)), Results: []event{}}
	if n < page.Seq {
		page.Results = c.events[max(0, n):]
	}
	return page
}

func (c *Changelog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	end := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	for done := false; !done; {
		c.mu.Lock()
		changed, last := c.changed, int64(len(c.events))
		c.mu.Unlock()
		if last > since {
			break
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
	page, _ := json.Marshal(c.Since(since))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(page)))
	_, _ = w.Write(page)
}
