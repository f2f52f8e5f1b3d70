// Package changelogserver emulates the change log of the endpoint list: it numbers the changes of the list and serves
// them to HTTP long polls. Tests can make it delay, truncate or refuse its responses.
package changelogserver

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Health states of an endpoint on the wire.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Endpoint is an engine in the endpoint list.
type Endpoint struct {
	ID     string `json:"host"`
	Addr   string `json:"dial"`
	Site   string `json:"site"`
	Class  string `json:"class"`
	Block  int    `json:"block"`
	Health string `json:"health"` // InService, Terminating or Terminated
	Share  int    `json:"share"`
	BornMS int64  `json:"born_ms"` // start of its process, Unix time in milliseconds; 0 for a start long ago
}

// event is one numbered change in its wire format.
type event struct {
	Revision int64 `json:"seq"`
	Fleet    struct {
		Revision  int64      `json:"seq"`
		Snapshot  bool       `json:"whole"`
		Endpoints []Endpoint `json:"hosts"`
	} `json:"fleet"`
	visibleAt time.Time // polls return the event from this time on
}

// Mode is the behaviour of the change log.
type Mode string

// The modes of the change log.
const (
	Serve       Mode = "serve"
	Truncating  Mode = "break"  // closes the connection in the middle of each response
	Stalling    Mode = "stall"  // stops in the middle of each response and keeps the connection open
	Unavailable Mode = "refuse" // responds with status 503
)

// ChangeLog is an emulated change log. It is safe for concurrent use.
type ChangeLog struct {
	listener    net.Listener
	onDelivered func(e Endpoint, at time.Time)

	mu      sync.Mutex // guards the fields below
	events  []event
	changed chan struct{} // closed at the next event or mode change
	delay   time.Duration
	mode    Mode
}

// New returns a change log that already listens at an address and whose first event is a snapshot of the list. It calls
// onDelivered, unless that is nil, with each endpoint of an event whenever the event is delivered.
func New(
	address string, endpoints []Endpoint, onDelivered func(e Endpoint, at time.Time),
) (*ChangeLog, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("change log emulator: resolve address: %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("change log emulator: %w", err)
	}
	l := &ChangeLog{changed: make(chan struct{}), mode: Serve, listener: listener, onDelivered: onDelivered}
	l.appendSnapshot(endpoints)
	return l, nil
}

// Addr returns the address that the change log listens at.
func (l *ChangeLog) Addr() string { return l.listener.Addr().String() }

func (l *ChangeLog) appendSnapshot(endpoints []Endpoint) {
	var ev event
	ev.Fleet.Snapshot, ev.Fleet.Endpoints = true, slices.Clone(endpoints)
	l.appendEvent(ev)
}

// Publish adds an event with changed endpoints.
func (l *ChangeLog) Publish(endpoints ...Endpoint) {
	var ev event
	ev.Fleet.Endpoints = slices.Clone(endpoints)
	l.appendEvent(ev)
}

// appendEvent numbers an event and adds it. Endpoints without a health state are in service.
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

// notifyPolls makes open polls check for events again. l.mu must be held.
func (l *ChangeLog) notifyPolls() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDelay sets the delay from the publication of later events until they are visible to polls.
func (l *ChangeLog) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetMode changes the behaviour from the next response on.
func (l *ChangeLog) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.notifyPolls()
}

// view is the state of the change log for one poll.
type view struct {
	events  []event
	next    time.Time       // time at which a further event becomes visible; zero for none
	changed <-chan struct{} // closed when the view is out of date
	mode    Mode
}

// eventsAfter returns the visible events with a revision greater than since. A delayed event hides all later events.
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
