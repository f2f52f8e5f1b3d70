// Package changelogserver emulates the change log of the endpoint list: it numbers the changes of the list
// and serves them over HTTP long polls, delayed, truncated or not at all as a test wants it.
package changelogserver

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// States of an endpoint, as the change log words them.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Endpoint is an engine as the change log lists it.
type Endpoint struct {
	ID     string `json:"host"`
	Addr   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"` // InService, Terminating or Terminated
	Share  int    `json:"share"`
	BornMS int64  `json:"born_ms"` // start of its process in milliseconds of Unix time; 0: long ago
}

// event is one numbered change, in the form of the wire.
type event struct {
	Revision int64 `json:"seq"`
	Fleet    struct {
		Revision  int64      `json:"seq"`
		Snapshot  bool       `json:"whole"`
		Endpoints []Endpoint `json:"hosts"`
	} `json:"fleet"`
	visibleAt time.Time // polls see it from then on
}

// Mode is how the change log behaves.
type Mode string

// The modes.
const (
	Serve       Mode = "serve"
	Truncating  Mode = "break"  // each answer breaks off in the middle, and its connection ends
	Stalling    Mode = "stall"  // each answer stops in the middle, and its connection stays open
	Unavailable Mode = "refuse" // status 503
)

// ChangeLog is the change log. It may be used from several goroutines.
type ChangeLog struct {
	listener    net.Listener
	onDelivered func(e Endpoint, at time.Time)

	mu      sync.Mutex // guards what follows
	events  []event
	changed chan struct{} // closed when an event or a mode comes
	delay   time.Duration
	mode    Mode
}

// New returns a change log that listens at an address already and whose first event is a snapshot of the
// list. onDelivered, if there is one, is called with each endpoint of an event whenever that is delivered.
func New(
	address string, endpoints []Endpoint, onDelivered func(e Endpoint, at time.Time),
) (*ChangeLog, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("change log emulator: %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("change log emulator: %w", err)
	}
	l := &ChangeLog{changed: make(chan struct{}), mode: Serve, listener: listener, onDelivered: onDelivered}
	l.appendSnapshot(endpoints)
	return l, nil
}

// Addr returns where the change log listens.
func (l *ChangeLog) Addr() string { return l.listener.Addr().String() }

func (l *ChangeLog) appendSnapshot(endpoints []Endpoint) {
	var ev event
	ev.Fleet.Snapshot, ev.Fleet.Endpoints = true, slices.Clone(endpoints)
	l.appendEvent(ev)
}

// Publish adds an event with the endpoints that have changed.
func (l *ChangeLog) Publish(endpoints ...Endpoint) {
	var ev event
	ev.Fleet.Endpoints = slices.Clone(endpoints)
	l.appendEvent(ev)
}

// appendEvent numbers an event and adds it. Endpoints without a state are in service.
func (l *ChangeLog) appendEvent(ev event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ev.Revision, ev.visibleAt = int64(len(l.events)+1), time.Now().Add(l.delay)
	ev.Fleet.Revision = ev.Revision
	for i := range ev.Fleet.Endpoints {
		if e := &ev.Fleet.Endpoints[i]; e.Health == "" {
			e.Health = InService
		}
	}
	l.events = append(l.events, ev)
	l.notifyPolls()
}

// notifyPolls makes the open polls look again; l.mu is held.
func (l *ChangeLog) notifyPolls() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDelay makes each later event visible so long after it is published.
func (l *ChangeLog) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetMode changes the behaviour from the next answer on.
func (l *ChangeLog) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.notifyPolls()
}

// view is what a poll sees.
type view struct {
	events  []event
	next    time.Time       // when a further event becomes visible; zero: none is due
	changed <-chan struct{} // closed when the view is out of date
	mode    Mode
}

// eventsAfter returns the visible events with a revision over since. A delayed event hides those behind it.
func (l *ChangeLog) eventsAfter(since int64) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{changed: l.changed, mode: l.mode}
	now := time.Now()
	for _, ev := range l.events {
		if ev.Revision <= since {
			continue
		}
		if ev.visibleAt.After(now) {
			v.next = ev.visibleAt
			break
		}
		v.events = append(v.events, ev)
	}
	return v
}
