package control_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"wheatlane/control"
)

const (
	millisecond = time.Millisecond
	worldStep   = 5 * millisecond
	worldStart  = 100 * time.Second
)

// batch is what the module was given at one time; update, if set, comes before the events.
type batch struct {
	now    time.Duration
	events []control.Event
	update *classUpdate
}

type due struct {
	at    time.Duration
	order int
	event control.Event
}

// agenda is a heap of what is due, the soonest first, and what is due at one time in its order.
type agenda []due

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

func (a *agenda) Push(x any) { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world is a broker's surroundings in a closed loop with the module: clients, engines, other brokers and the
// operator. All that happens is drawn from one generator, so equal seeds give equal events for equal actions.
type world struct {
	tb        testing.TB
	module    *control.Controller
	settings  deployment
	rng       *rand.Rand
	now       time.Duration
	faultless bool // nothing goes wrong
	observe   func(b batch, actions []control.Action)
	pending   agenda
	order     int
	engines   []*modelEngine
	requests  map[string]*modelRequest
	load      float64 // fraction of the engines' capacity that clients ask for
	impatient float64 // share of clients that leave early
	estimated float64 // share of requests that come with estimates
	faultRate float64 // chance of an engine's fault to begin in a step
	lossRate  float64 // share of answers that a healthy engine never gives
	numbered  int     // requests so far
}

func newWorld(tb testing.TB, settings deployment, seed uint64, engines int) *world {
	tb.Helper()
	module, err := control.New(settings.Settings, seed)
	if err != nil {
		tb.Fatal(err)
	}
	w := &world{
		tb: tb, module: module, settings: settings, rng: rand.New(rand.NewPCG(seed, 26)), now: worldStart,
		requests: map[string]*modelRequest{}, observe: func(batch, []control.Action) {},
		load: 0.7, faultRate: 0.0005, lossRate: 0.001,
	}
	for range engines {
		w.join()
	}
	w.after(0, w.snapshot())
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

func (w *world) after(d time.Duration, event control.Event) {
	w.order++
	heap.Push(&w.pending, due{w.now + max(0, d), w.order, event})
}

// run lets so much time pass.
func (w *world) run(length time.Duration) {
	for end := w.now + length; w.now < end; {
		w.now += worldStep
		if !w.faultless && w.chance(0.002) { // the process stood still
			w.now += w.between(0, 1500*millisecond)
		}
		w.clients()
		b := batch{now: w.now}
		if !w.faultless {
			w.injectFaults()
			w.gossip()
			b.update = w.reload()
		}
		w.handle(b)
	}
}

func (w *world) handle(b batch) {
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		if ev := heap.Pop(&w.pending).(due).event; w.record(ev) {
			b.events = append(b.events, ev)
		}
	}
	if len(b.events) == 0 && b.update == nil {
		return
	}
	if !w.faultless && w.chance(0.1) {
		swap := func(i, j int) { b.events[i], b.events[j] = b.events[j], b.events[i] }
		w.rng.Shuffle(len(b.events), swap)
	}
	if b.update != nil {
		w.module.UpdateClasses(b.update.classes, b.update.limits)
	}
	actions := w.module.Handle(b.now, b.events)
	w.observe(b, actions)
	for _, a := range actions {
		w.act(a)
	}
}

// record keeps the world's own records of an event and reports whether it comes to the module at all.
func (w *world) record(event control.Event) bool {
	switch ev := event.(type) {
	case control.AttemptEnded:
		r := w.requests[ev.RequestID]
		if r == nil || ev.Number < 0 || ev.Number >= len(r.attempts) {
			return true // of nothing that is known: the module passes it over
		}
		a := r.attempts[ev.Number]
		if a.ended {
			return false
		}
		a.ended = true
		a.engine.inFlight--
		r.over = r.over || ev.RequestClosed
	case control.RequestReceived:
		if r := w.requests[ev.Request.ID]; r != nil {
			arrivedBefore := r.arrived
			r.arrived = true
			return !arrivedBefore || !r.over
		}
	case control.ClientDisconnected:
		if r := w.requests[ev.RequestID]; r != nil {
			r.over = true
		}
	case control.AttemptProgress:
		if r := w.requests[ev.RequestID]; r != nil {
			return !r.attempts[ev.Number].ended
		}
	}
	return true
}

func (w *world) act(action control.Action) {
	switch a := action.(type) {
	case control.SendAttempt:
		w.send(a)
	case control.Reject:
		r := w.requests[a.RequestID]
		r.over = true
		if !w.faultless && w.chance(0.3) { // its client comes again
			w.submit(r.Class, r.OrderKey, max(a.RetryAfter, 50*millisecond))
		}
	case control.Fail:
		if r := w.requests[a.RequestID]; r != nil {
			r.over = true
		}
	case control.CancelAttempt:
		r := w.requests[a.RequestID]
		if a.Number >= len(r.attempts) {
			w.tb.Fatalf("cancel of attempt %d of %s, which has %d", a.Number, a.RequestID, len(r.attempts))
		}
		if attempt := r.attempts[a.Number]; w.chance(0.9) {
			w.after(w.between(millisecond, 12*millisecond), control.AttemptEnded{
				RequestID: a.RequestID, Number: a.Number, Engine: attempt.engine.ID,
				Status: control.Cancelled, Duration: w.now - attempt.sent,
			})
		}
	case control.SetTimer:
		w.after(a.After, control.TimerFired{Token: a.Token})
	case control.ProbeLoad:
		w.probe(a.Engine)
	case control.WatchEndpoints:
		failed := control.EndpointUpdate{Kind: control.EndpointWatchFailed}
		if w.chance(0.3) {
			w.after(w.between(0, 400*millisecond), failed)
		} else {
			w.after(w.between(0, 400*millisecond), w.snapshot())
			w.after(w.between(4*time.Second, 20*time.Second), failed)
		}
	}
}
