package control_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"wheatlane/control"
)

const (
	millisecond     = time.Millisecond
	simulationStep  = 5 * millisecond
	simulationStart = 100 * time.Second
)

// batch is the input of the controller at one time. The class update, if any, is applied before the events.
type batch struct {
	now    time.Duration
	events []control.Event
	update *classUpdate
}

type scheduledEvent struct {
	at    time.Duration
	order int
	event control.Event
}

// eventQueue is a heap of scheduled events, ordered by time and then by the order in which they were
// scheduled.
type eventQueue []scheduledEvent

func (a eventQueue) Len() int      { return len(a) }
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulatedCluster simulates the environment of a broker in a closed loop with its controller: clients,
// engines, other brokers and the operator. All random values come from one generator, so equal seeds give
// equal events for equal actions.
type simulatedCluster struct {
	tb             testing.TB
	controller     *control.Controller
	settings       deployment
	rng            *rand.Rand
	now            time.Duration
	faultless      bool // no faults are injected
	observe        func(b batch, actions []control.Action)
	pending        eventQueue
	order          int
	engines        []*simulatedEngine
	requests       map[string]*simulatedRequest
	load           float64 // fraction of the engines' capacity that clients request
	disconnectRate float64 // fraction of clients that disconnect early
	estimateRate   float64 // fraction of requests with estimates of work and memory
	faultRate      float64 // probability per step that a fault of an engine begins
	lossRate       float64 // fraction of responses that a healthy engine loses
	requestCount   int     // requests submitted so far
}

func newSimulatedCluster(tb testing.TB, settings deployment, seed uint64, engines int) *simulatedCluster {
	tb.Helper()
	controller, err := control.New(settings.Settings, seed)
	if err != nil {
		tb.Fatal(err)
	}
	c := &simulatedCluster{
		tb: tb, controller: controller, settings: settings, now: simulationStart,
		rng:      rand.New(rand.NewPCG(seed, 26)),
		requests: map[string]*simulatedRequest{}, observe: func(batch, []control.Action) {},
		load: 0.7, faultRate: 0.0005, lossRate: 0.001,
	}
	for range engines {
		c.addEngine()
	}
	c.schedule(0, c.snapshot())
	return c
}

func (c *simulatedCluster) chance(p float64) bool { return c.rng.Float64() < p }

func (c *simulatedCluster) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Float64()*float64(high-low))
}

func (c *simulatedCluster) schedule(d time.Duration, event control.Event) {
	c.order++
	heap.Push(&c.pending, scheduledEvent{c.now + max(0, d), c.order, event})
}

// run simulates that length of time.
func (c *simulatedCluster) run(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.now += simulationStep
		if !c.faultless && c.chance(0.002) { // a process pause
			c.now += c.randomDuration(0, 1500*millisecond)
		}
		c.submitArrivals()
		b := batch{now: c.now}
		if !c.faultless {
			c.injectFaults()
			c.gossip()
			b.update = c.reload()
		}
		c.handle(b)
	}
}

func (c *simulatedCluster) handle(b batch) {
	for len(c.pending) > 0 && c.pending[0].at <= c.now {
		if event := heap.Pop(&c.pending).(scheduledEvent).event; c.updateModel(event) {
			b.events = append(b.events, event)
		}
	}
	if len(b.events) == 0 && b.update == nil {
		return
	}
	if !c.faultless && c.chance(0.1) {
		swap := func(i, j int) { b.events[i], b.events[j] = b.events[j], b.events[i] }
		c.rng.Shuffle(len(b.events), swap)
	}
	if b.update != nil {
		c.controller.UpdateClasses(b.update.classes, b.update.limits)
	}
	actions := c.controller.Handle(b.now, b.events)
	c.observe(b, actions)
	for _, a := range actions {
		c.perform(a)
	}
}

// updateModel records an event in the simulated requests and engines. It reports whether the controller
// receives the event.
func (c *simulatedCluster) updateModel(event control.Event) bool {
	switch event := event.(type) {
	case control.AttemptEnded:
		r := c.requests[event.RequestID]
		if r == nil || event.Number < 0 || event.Number >= len(r.attempts) {
			return true // an unknown attempt, which the controller ignores
		}
		a := r.attempts[event.Number]
		if a.ended {
			return false
		}
		a.ended = true
		a.engine.inFlight--
		r.closed = r.closed || event.RequestClosed
	case control.RequestReceived:
		if r := c.requests[event.Request.ID]; r != nil {
			arrivedBefore := r.arrived
			r.arrived = true
			return !arrivedBefore || !r.closed
		}
	case control.ClientDisconnected:
		if r := c.requests[event.RequestID]; r != nil {
			r.closed = true
		}
	case control.AttemptProgress:
		if r := c.requests[event.RequestID]; r != nil {
			return !r.attempts[event.Number].ended
		}
	}
	return true
}

func (c *simulatedCluster) perform(action control.Action) {
	switch a := action.(type) {
	case control.SendAttempt:
		c.startAttempt(a)
	case control.Reject:
		r := c.requests[a.RequestID]
		r.closed = true
		if !c.faultless && c.chance(0.3) { // the client retries
			c.submit(r.Class, r.OrderKey, max(a.RetryAfter, 50*millisecond))
		}
	case control.Fail:
		if r := c.requests[a.RequestID]; r != nil {
			r.closed = true
		}
	case control.CancelAttempt:
		r := c.requests[a.RequestID]
		if a.Number >= len(r.attempts) {
			c.tb.Fatalf("cancel of attempt %d of %s, which has %d", a.Number, a.RequestID, len(r.attempts))
		}
		if attempt := r.attempts[a.Number]; c.chance(0.9) {
			c.schedule(c.randomDuration(millisecond, 12*millisecond), control.AttemptEnded{
				RequestID: a.RequestID, Number: a.Number, Engine: attempt.engine.ID,
				Status: control.Cancelled, Duration: c.now - attempt.sent,
			})
		}
	case control.SetTimer:
		c.schedule(a.After, control.TimerFired{Token: a.Token})
	case control.ProbeLoad:
		c.probe(a.Engine)
	case control.WatchEndpoints:
		failed := control.EndpointUpdate{Kind: control.EndpointWatchFailed}
		if c.chance(0.3) {
			c.schedule(c.randomDuration(0, 400*millisecond), failed)
		} else {
			c.schedule(c.randomDuration(0, 400*millisecond), c.snapshot())
			c.schedule(c.randomDuration(4*time.Second, 20*time.Second), failed)
		}
	}
}
