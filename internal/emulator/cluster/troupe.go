// Package troupe plays several engines together with what the change log has to tell of them: each fault of an engine
// that a change log would come to know of is published, a little later than it happened.
package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/scenario"
)

// Verbs are what can be done to engines.
var Verbs = map[string]bool{"slow": true, "quick": true, "silent": true, "speak": true, "drain": true, "crash": true,
	"back": true, "moved": true}

const (
	slowdownFactor      = 4
	crashDetectionDelay = 2 * time.Second // a crash is in the change log so long after it
)

// Kind is the kind of the engines, as settings name it.
const Kind = "std-8core"

// Classes are the classes of the chart service, as its engines run them.
var Classes = []engine.Class{
	{Name: "lookup", Work: 65 * time.Millisecond, Threads: 1, Rows: 4, BlockedByDataSetLock: true},
	{Name: "route-report", Work: 3 * time.Second, Threads: 4, Rows: 250},
	{Name: "survey-load", Work: 3800 * time.Millisecond, Threads: 2, Rows: 1, HoldsDataSetLock: true},
}

// Size is that of an engine of the chart service.
var Size = engine.Config{Cores: 8, SaturationPoint: 1.9, Sessions: 64, DedupWindow: 15 * time.Second, SlowStartDuration: 15 * time.Second, SlowStartInitial: 0.33}

// Cluster is the engines.
type Cluster struct {
	engines   []*engine.Server
	publish   func(changelogserver.Host) error
	mu        sync.Mutex
	endpoints []changelogserver.Host
}

// New returns so many engines, warm and in service. publish is called with each host that changes.
func New(n int, watch engine.Observer, publish func(changelogserver.Host) error) (*Cluster, error) {
	t := &Cluster{publish: publish}
	for i := range n {
		e, err := engine.NewServer(fmt.Sprintf("s-%08x", 0xe0000000+i+1), Classes, Size, watch)
		if err != nil {
			return nil, err
		}
		t.engines = append(t.engines, e)
		t.endpoints = append(t.endpoints, changelogserver.Host{ID: e.ID, Addr: e.Addr(), Site: "east", Class: Kind, Share: 4, Health: "in_service"})
	}
	return t, nil
}

// Hosts is the list of engines as it is now.
func (t *Cluster) Hosts() []changelogserver.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]changelogserver.Host(nil), t.endpoints...)
}

// Run plays the engines until ctx ends.
func (t *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range t.engines {
		g.Go(func() error { return e.Run(ctx) })
	}
	return g.Wait()
}

// updateEndpoint changes a host and publishes it.
func (t *Cluster) updateEndpoint(i int, change func(*changelogserver.Host)) error {
	t.mu.Lock()
	change(&t.endpoints[i])
	h := t.endpoints[i]
	t.mu.Unlock()
	return t.publish(h)
}

// Do carries out a step; it returns once the change log has been told what it is to know.
func (t *Cluster) Do(ctx context.Context, s scenario.Step) error {
	i := s.Target - 1
	e := t.engines[i]
	switch s.Do {
	case "slow":
		e.Slow(slowdownFactor)
	case "quick":
		e.Slow(1)
	case "silent":
		e.Silence(true)
	case "speak":
		e.Silence(false)
	case "drain":
		return t.updateEndpoint(i, func(h *changelogserver.Host) { h.Health = "terminating" })
	case "crash":
		e.Crash()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(crashDetectionDelay):
		}
		return t.updateEndpoint(i, func(h *changelogserver.Host) { h.Health = "terminated" })
	case "back", "moved":
		e.Crash() // one that only drained ends first
		if err := e.Return(s.Do == "moved"); err != nil {
			return err
		}
		return t.updateEndpoint(i, func(h *changelogserver.Host) {
			h.Health, h.Addr, h.BornMS = "in_service", e.Addr(), time.Now().UnixMilli()
		})
	}
	return nil
}

// Plain starts n engines of the chart service that run classes, without faults, and a change log that lists them,
// each in g until ctx ends.
func Plain(ctx context.Context, g *errgroup.Group, n int, classes []engine.Class) (*changelogserver.ChangeLog, []changelogserver.Host, error) {
	var hosts []changelogserver.Host
	for i := range n {
		e, err := engine.NewServer(fmt.Sprint("s-", i), classes, Size, nil)
		if err != nil {
			return nil, nil, err
		}
		g.Go(func() error { return e.Run(ctx) })
		hosts = append(hosts, changelogserver.Host{ID: e.ID, Addr: e.Addr(), Class: Kind})
	}
	changes, err := changelogserver.New("127.0.0.1:0", hosts, nil)
	if err != nil {
		return nil, nil, err
	}
	g.Go(func() error { return changes.Run(ctx) })
	return changes, hosts, nil
}
