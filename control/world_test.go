package control_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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

type classUpdate struct {
	classes []control.Class
	limits  control.Limits
}

// modelEngine is a model of an engine: enough for the module to meet every kind of answer, no more.
type modelEngine struct {
	control.Engine
	slowdown   float64 // multiple of the service time
	failing    float64 // share of attempts that fail
	silent     float64 // share of attempts that are never answered
	atCapacity float64 // share of attempts that are not admitted
	faultyTo   time.Duration
	background float64 // load by other brokers
	inFlight   int
}

type modelRequest struct {
	control.Request
	work     time.Duration
	threads  int
	attempts []*modelAttempt
	arrived  bool
	over     bool
}

type modelAttempt struct {
	engine *modelEngine
	sent   time.Duration
	ended  bool
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
	settings  control.Settings
	rng       *rand.Rand
	now       time.Duration
	faultless bool // nothing goes wrong
	observe   func(b batch, actions []control.Action)
	pending   agenda
	order     int
	engines   []*modelEngine
	requests  map[string]*modelRequest
	load      float64 // part of the engines' capacity that clients ask for
	impatient float64 // share of clients that leave early
	estimated float64 // share of requests that come with estimates
	faultRate float64 // chance of an engine's fault to begin in a step
	lossRate  float64 // share of answers that a healthy engine never gives
	numbered  int     // requests so far
}

func newWorld(tb testing.TB, settings control.Settings, seed uint64, engines int) *world {
	tb.Helper()
	module, err := control.New(settings, seed)
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

func (w *world) join() *modelEngine {
	kinds := make([]string, 0, len(w.settings.EngineKinds))
	for name := range w.settings.EngineKinds {
		kinds = append(kinds, name)
	}
	slices.Sort(kinds)
	id, zones := fmt.Sprintf("engine-%03d", len(w.engines)), []string{w.settings.Zone, "b"}
	e := &modelEngine{
		Engine:   control.Engine{ID: id, Zone: zones[w.rng.IntN(2)], Cell: w.rng.IntN(3)},
		slowdown: 1,
	}
	if len(kinds) > 0 {
		e.Kind = kinds[w.rng.IntN(len(kinds))]
	}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) snapshot() control.EndpointUpdate {
	all := control.EndpointUpdate{Kind: control.EndpointSnapshot}
	for _, e := range w.engines {
		if e.State != control.Removed || w.chance(0.3) {
			all.Engines = append(all.Engines, e.Engine)
		}
	}
	return all
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

// record keeps the world's own records of an event and says whether it comes to the module at all.
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
		failed := control.EndpointUpdate{Kind: control.EndpointPollFailed}
		if w.chance(0.3) {
			w.after(w.between(0, 400*millisecond), failed)
		} else {
			w.after(w.between(0, 400*millisecond), w.snapshot())
			w.after(w.between(4*time.Second, 20*time.Second), failed)
		}
	}
}

func (w *world) engine(id string) *modelEngine {
	i := slices.IndexFunc(w.engines, func(e *modelEngine) bool { return e.ID == id })
	if i < 0 {
		w.tb.Fatalf("no engine %s", id)
	}
	return w.engines[i]
}

func (w *world) probe(id string) {
	e := w.engine(id)
	result := control.ProbeResult{Engine: id, Duration: w.between(millisecond, 15*millisecond)}
	if w.chance(0.05) || e.State == control.Removed {
		result.Status = control.Failed
	} else {
		result.Report = w.report(e)
	}
	w.after(result.Duration, result)
}

// report is an engine's load by the fields that the settings name.
func (w *world) report(e *modelEngine) []float64 {
	row := make([]float64, 0, len(w.settings.ReportFields))
	for _, field := range w.settings.ReportFields {
		v := e.background * (0.9 + 0.2*w.rng.Float64()) * math.Sqrt(e.slowdown)
		if field == "queue" || field == "inflight" {
			v = float64(e.inFlight) + math.Floor(4*v)
		}
		row = append(row, v)
	}
	return row
}

// send models what becomes of an attempt.
func (w *world) send(a control.SendAttempt) {
	r, e := w.requests[a.RequestID], w.engine(a.Engine)
	attempt := &modelAttempt{engine: e, sent: w.now}
	end := control.AttemptEnded{RequestID: a.RequestID, Number: len(r.attempts), Engine: a.Engine}
	r.attempts = append(r.attempts, attempt)
	e.inFlight++
	end.Status, end.Duration = w.outcome(r, e)
	limit := r.Deadline - w.now + 20*millisecond
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	if end.Duration > limit {
		end.Status, end.Duration = control.TimedOut, limit
	}
	switch end.Status {
	case control.OK:
		end.RequestClosed = true
		end.Report = w.report(e)
		if w.settings.ReportsCost {
			end.Work, end.MemoryMB = r.work, 40+r.work.Seconds()*100
		}
		if w.chance(0.2) {
			w.after(end.Duration-3*millisecond, control.ResponseStarted{RequestID: a.RequestID})
		}
	case control.AtCapacity:
		end.Report = w.report(e)
	case control.ConnectionReset:
		end.SharedCause = w.chance(0.4)
	case control.Failed, control.TimedOut, control.ConnectFailed, control.Cancelled, control.NeverSent:
	}
	w.after(end.Duration, end)
	if every := w.settings.ProgressInterval; every > 0 {
		for at := every; at < end.Duration; at += every {
			w.after(at, control.AttemptProgress{
				RequestID: a.RequestID, Number: end.Number, Engine: a.Engine,
				Kind:  control.ProgressKind(1 + w.rng.IntN(3)),
				Value: at.Seconds() / end.Duration.Seconds() * w.rng.Float64(),
			})
		}
	}
}

// outcome draws how an attempt ends and when, were there no limit of time.
func (w *world) outcome(r *modelRequest, e *modelEngine) (control.Status, time.Duration) {
	quick := w.between(millisecond, 8*millisecond)
	noise := math.Exp(0.3 * w.rng.NormFloat64())
	service := r.work.Seconds() / float64(r.threads) * e.slowdown * (1 + e.background) * noise
	took := time.Duration(service*float64(time.Second)) + millisecond
	switch draw := w.rng.Float64(); {
	case w.faultless:
		return control.OK, took
	case e.State == control.Removed || draw < 0.002:
		return control.ConnectFailed, quick
	case draw < 0.004:
		return control.NeverSent, quick
	case draw < 0.006:
		return control.ConnectionReset, took / 2
	case draw < 0.006+e.atCapacity:
		return control.AtCapacity, quick
	}
	if w.chance(e.failing) {
		return control.Failed, quick
	}
	if w.chance(e.silent) {
		return control.OK, time.Hour
	}
	return control.OK, took
}

// submit has a client send a request of a class a time from now.
func (w *world) submit(class, key string, in time.Duration) {
	i := slices.IndexFunc(w.settings.Classes, func(k control.Class) bool { return k.Name == class })
	k := w.settings.Classes[max(0, i)]
	w.numbered++
	wait := k.ClientTimeout
	if wait == 0 {
		wait = w.between(200*millisecond, 6*time.Second)
	}
	objective := k.LatencyObjective
	if objective <= 0 {
		objective = time.Second
	}
	work := 0.15 * objective.Seconds() * float64(max(1, k.Threads)) * math.Exp(0.8*w.rng.NormFloat64())
	r := &modelRequest{work: time.Duration(work * float64(time.Second)), threads: max(1, k.Threads)}
	r.Request = control.Request{
		ID: fmt.Sprint("r", w.numbered), Class: class, Deadline: w.now + in + wait, DataSet: w.rng.IntN(12),
	}
	if n := len(w.settings.Tenants); n > 0 {
		r.Tenant = append(w.settings.Tenants, control.Tenant{Name: "unknown"})[w.rng.IntN(n+1)].Name
	}
	if k.Ordered {
		if r.OrderKey = key; key == "" {
			r.OrderKey = fmt.Sprint("key", w.rng.IntN(8))
		}
	}
	if w.chance(w.estimated) {
		r.EstimatedWork = time.Duration(float64(r.work) * (0.6 + 0.8*w.rng.Float64()))
		r.EstimatedMemoryMB = 30 + 120*r.EstimatedWork.Seconds()
	}
	w.requests[r.ID] = r
	w.after(in, control.RequestReceived{Request: r.Request})
	if w.chance(w.impatient) {
		w.after(in+w.between(0, wait), control.ClientDisconnected{RequestID: r.ID})
	}
}

// clients draws arrivals for one step by the load that is wanted of the engines.
func (w *world) clients() {
	cores := 0.0
	for _, e := range w.engines {
		if e.State != control.Removed {
			cores += max(1, w.settings.EngineKinds[e.Kind].Cores)
		}
	}
	work := 0.0
	for i := range w.settings.Classes {
		work += w.classWork(i) * w.classShare(i)
	}
	rate := min(100, w.load*cores/float64(w.settings.Brokers)/max(work, 1e-3))
	for expected := rate * worldStep.Seconds(); expected > 0; expected-- {
		if !w.chance(expected) {
			continue
		}
		draw, i := w.rng.Float64(), 0
		for i < len(w.settings.Classes)-1 && draw >= w.classShare(i) {
			draw -= w.classShare(i)
			i++
		}
		w.submit(w.settings.Classes[i].Name, "", 0)
	}
}

// classShare is the share of a class in what clients ask: each is asked half as often as the one before.
func (w *world) classShare(i int) float64 {
	n := len(w.settings.Classes)
	return math.Exp2(float64(n-1-i)) / (math.Exp2(float64(n)) - 1)
}

func (w *world) classWork(i int) float64 {
	k := w.settings.Classes[i]
	return 0.2 * max(k.LatencyObjective.Seconds(), 0.1) * float64(max(1, k.Threads))
}

// injectFaults changes the world now and then: what is asked, how engines fare, the list of them, the
// operator's wishes.
func (w *world) injectFaults() {
	if w.chance(0.0005) {
		w.load = []float64{0.3, 0.7, 1, 1.6, 3}[w.rng.IntN(5)]
	}
	if w.chance(0.0004) {
		w.impatient = []float64{0, 0.02, 0.7}[w.rng.IntN(3)]
	}
	if w.chance(0.0005) {
		w.estimated = w.rng.Float64()
	}
	for _, e := range w.engines {
		w.injectFault(e)
	}
	if w.chance(0.0008) {
		w.after(0, w.snapshot())
	}
	if w.chance(0.0004) && len(w.engines) < 80 {
		e := w.join()
		e.StartedAt = w.now - w.between(0, 2*time.Second)
		w.after(0, control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}})
	}
	if w.chance(0.002) { // what nobody asked for
		stray := control.Request{ID: "stray", Class: "no such class", Deadline: w.now + time.Second}
		w.after(0, control.RequestReceived{Request: stray})
		if r := w.requests[fmt.Sprint("r", w.numbered)]; r != nil && !r.over { // the same once more
			w.after(20*millisecond, control.RequestReceived{Request: r.Request})
		}
		w.after(0, control.ClientDisconnected{RequestID: "nobody's"})
		w.after(0, control.AttemptEnded{RequestID: "nobody's", Number: -1})
		w.after(0, control.TimerFired{Token: 1 << 40})
		w.after(0, control.ProbeResult{Engine: "no such engine"})
	}
}

func (w *world) injectFault(e *modelEngine) {
	if w.chance(0.01) {
		e.background = 1.3 * w.rng.Float64()
	}
	if w.now > e.faultyTo {
		e.slowdown, e.failing, e.silent, e.atCapacity = 1, 0.001, w.lossRate, 0
		if !w.chance(w.faultRate) {
			return
		}
		e.faultyTo = w.now + w.between(500*millisecond, 8*time.Second)
		switch w.rng.IntN(4) {
		case 0:
			e.slowdown = 2 + 10*w.rng.Float64()
		case 1:
			e.failing = 0.3 + 0.7*w.rng.Float64()
		case 2:
			e.silent = 0.1 + 0.9*w.rng.Float64()
		case 3:
			e.atCapacity = 0.5 + 0.5*w.rng.Float64()
		}
	}
	if w.chance(0.0006) {
		e.State = control.EngineState(w.rng.IntN(3))
		w.updateList(e)
	}
	if w.chance(0.0015) && e.State != control.Ready { // a new process takes its place
		e.State, e.StartedAt = control.Ready, w.now-w.between(0, 2*time.Second)
		w.updateList(e)
	}
	if w.chance(0.0003) {
		w.after(0, control.SetMaintenance{Engine: e.ID, Enabled: true})
		w.after(w.between(time.Second, 6*time.Second), control.SetMaintenance{Engine: e.ID})
	}
}

func (w *world) updateList(e *modelEngine) {
	delta := control.EndpointUpdate{Kind: control.EndpointDelta, Engines: []control.Engine{e.Engine}}
	w.after(w.between(0, 600*millisecond), delta)
}

// gossip has another broker send some engines' load reports.
func (w *world) gossip() {
	if !w.settings.Limits.Gossip || !w.chance(0.02) {
		return
	}
	received := control.GossipReceived{Broker: w.rng.IntN(w.settings.Brokers)}
	for range 1 + w.rng.IntN(8) {
		e := w.engines[w.rng.IntN(len(w.engines))]
		received.Reports = append(received.Reports, control.LoadReport{
			Engine: control.EngineHash(e.ID), Load: e.background, Age: w.between(0, 3*time.Second),
		})
	}
	w.after(0, received)
}

// reload now and then reads settings anew: a class changes, one comes or goes, more or fewer attempts are
// allowed.
func (w *world) reload() *classUpdate {
	if !w.chance(0.0003) {
		return nil
	}
	classes := slices.Clone(w.settings.Classes)
	switch k := &classes[w.rng.IntN(len(classes))]; w.rng.IntN(4) {
	case 0:
		k.PriorityWeight *= 1.5
	case 1:
		k.LatencyObjective += 100 * millisecond
	case 2:
		added := *k
		added.Name = fmt.Sprint("added-", w.numbered)
		classes = append(classes, added)
	case 3:
		if len(classes) > 1 {
			classes = classes[1:]
		}
	}
	w.settings.Classes = classes
	w.settings.Limits.MaxAttempts = 1 + w.rng.IntN(5)
	return &classUpdate{classes, w.settings.Limits}
}
