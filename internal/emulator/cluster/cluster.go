// Package cluster emulates several engines and publishes their changes to the change log. Only the changes that a real
// change log detects are published; crashes are published with a delay.
package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/scenario"
)

// The actions on an engine, by their names in scenarios.
const (
	actionSlow    = "slow"
	actionNormal  = "quick" // ends actionSlow
	actionSilence = "silent"
	actionSpeak   = "speak" // ends actionSilence
	actionDrain   = "drain"
	actionCrash   = "crash"
	actionRestart = "back"
	actionMove    = "moved" // a restart at another address
)

// Actions contains the actions on engines, as scenario.Parse accepts them. All require the number of an engine.
var Actions = map[string]bool{
	actionSlow: true, actionNormal: true, actionSilence: true, actionSpeak: true, actionDrain: true,
	actionCrash: true, actionRestart: true, actionMove: true,
}

const (
	slowdownFactor      = 4
	crashDetectionDelay = 2 * time.Second // from a crash to its publication
	firstEngineNumber   = 0xe0000001
)

// EngineKind is the machine type of the engines, by its name in the settings.
const EngineKind = "std-8core"

// Classes are the request classes of the chart service, with their behaviour on engines.
var Classes = []engine.Class{
	{Name: "lookup", MeanWork: 65 * time.Millisecond, Threads: 1, MeanRows: 4, BlockedByDataSetLock: true},
	{Name: "route-report", MeanWork: 3 * time.Second, Threads: 4, MeanRows: 250},
	{Name: "survey-load", MeanWork: 3800 * time.Millisecond, Threads: 2, MeanRows: 1, HoldsDataSetLock: true},
}

// EngineSize is the capacity of an engine of the chart service.
var EngineSize = engine.Config{
	Cores: 8, SaturationPoint: 1.9, MaxQueries: 64, DedupWindow: 15 * time.Second,
	SlowStartDuration: 15 * time.Second, SlowStartInitial: 0.33,
}

// Cluster is a set of emulated engines with their endpoint list.
type Cluster struct {
	engines []*engine.Server
	publish func(changelogserver.Endpoint) error

	mu        sync.Mutex // guards endpoints
	endpoints []changelogserver.Endpoint
}

// New returns a cluster of n engines that are in service and past their slow start. It calls publish with each changed
// endpoint.
func New(n int, observer engine.Observer, publish func(changelogserver.Endpoint) error) (*Cluster, error) {
	c := &Cluster{publish: publish}
	for i := range n {
		e, err := engine.NewServer(fmt.Sprintf("s-%08x", firstEngineNumber+i), Classes, EngineSize, observer)
		if err != nil {
			return nil, err
		}
		c.engines = append(c.engines, e)
		c.endpoints = append(c.endpoints, changelogserver.Endpoint{
			ID: e.ID, Addr: e.Addr(), Site: "east", Class: EngineKind, Share: 4, Health: changelogserver.InService,
		})
	}
	return c, nil
}

// Endpoints returns a copy of the current endpoint list.
func (c *Cluster) Endpoints() []changelogserver.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.endpoints)
}

// Run runs the engines until ctx is done.
func (c *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range c.engines {
		g.Go(func() error { return e.Run(ctx) })
	}
	return g.Wait()
}

// updateEndpoint changes an endpoint and publishes it.
func (c *Cluster) updateEndpoint(i int, change func(*changelogserver.Endpoint)) error {
	c.mu.Lock()
	change(&c.endpoints[i])
	endpoint := c.endpoints[i]
	c.mu.Unlock()
	return c.publish(endpoint)
}

// Apply performs a step of a scenario. If the step changes the endpoint list, Apply returns once the change has been
// published.
func (c *Cluster) Apply(ctx context.Context, step scenario.Step) error {
	i := step.Target - 1
	e := c.engines[i]
	switch step.Action {
	case actionSlow:
		e.SetSlowdown(slowdownFactor)
	case actionNormal:
		e.SetSlowdown(1)
	case actionSilence:
		e.SetSilent(true)
	case actionSpeak:
		e.SetSilent(false)
	case actionDrain:
		return c.updateEndpoint(i, func(endpoint *changelogserver.Endpoint) {
			endpoint.Health = changelogserver.Terminating
		})
	case actionCrash:
		return c.crash(ctx, i)
	case actionRestart, actionMove:
		return c.restart(i, step.Action == actionMove)
	}
	return nil
}

// crash crashes an engine and publishes the crash after crashDetectionDelay, unless ctx is done before.
func (c *Cluster) crash(ctx context.Context, i int) error {
	c.engines[i].Crash()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(crashDetectionDelay):
	}
	return c.updateEndpoint(i, func(endpoint *changelogserver.Endpoint) {
		endpoint.Health = changelogserver.Terminated
	})
}

// restart restarts an engine, at another address if move is set. It crashes an engine that still runs.
func (c *Cluster) restart(i int, move bool) error {
	e := c.engines[i]
	e.Crash()
	if err := e.Restart(move); err != nil {
		return err
	}
	return c.updateEndpoint(i, func(endpoint *changelogserver.Endpoint) {
		endpoint.Health, endpoint.Addr, endpoint.BornMS = changelogserver.InService, e.Addr(), time.Now().UnixMilli()
	})
}

// RunHealthy is like StartHealthy, but returns the engines. observer may be nil.
func RunHealthy(
	ctx context.Context, g *errgroup.Group, n int, classes []engine.Class, observer engine.Observer,
) (*changelogserver.ChangeLog, []*engine.Server, error) {
	engines := make([]*engine.Server, 0, n)
	endpoints := make([]changelogserver.Endpoint, 0, n)
	for i := range n {
		e, err := engine.NewServer(fmt.Sprint("s-", i), classes, EngineSize, observer)
		if err != nil {
			return nil, nil, err
		}
		g.Go(func() error { return e.Run(ctx) })
		engines = append(engines, e)
		endpoints = append(endpoints, changelogserver.Endpoint{ID: e.ID, Addr: e.Addr(), Class: EngineKind})
	}
	changes, err := changelogserver.New("127.0.0.1:0", endpoints, nil)
	if err != nil {
		return nil, nil, err
	}
	g.Go(func() error { return changes.Run(ctx) })
	return changes, engines, nil
}

// StartHealthy starts n engines with EngineSize that run the given classes without faults, and a change log that lists
// them. All run in g until ctx is done.
func StartHealthy(
	ctx context.Context, g *errgroup.Group, n int, classes []engine.Class,
) (*changelogserver.ChangeLog, []changelogserver.Endpoint, error) {
	changes, engines, err := RunHealthy(ctx, g, n, classes, nil)
	if err != nil {
		return nil, nil, err
	}
	endpoints := make([]changelogserver.Endpoint, 0, n)
	for _, e := range engines {
		endpoints = append(endpoints, changelogserver.Endpoint{ID: e.ID, Addr: e.Addr(), Class: EngineKind})
	}
	return changes, endpoints, nil
}
