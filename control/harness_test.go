package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatlane/control/loadreport"
	"wheatlane/control/units"
)

const ms = time.Millisecond

// baseSettings is a small deployment: a quick and a long class, two tenants, and rules for a few engines.
func baseSettings() Settings {
	return Settings{
		Brokers: 2, Zone: "a", MinBatchInterval: 5 * ms,
		Classes: []Class{
			{Name: "quick", LatencyObjective: 600 * ms, ObjectivePerWork: 1, PriorityWeight: 1, Threads: 1},
			{
				Name: "long", LatencyObjective: 3 * time.Second, ObjectivePerWork: 2, PriorityWeight: 8,
				LateWeight: 0.4, Threads: 2,
			},
		},
		Tenants:          []Tenant{{Name: "t0", Share: 0.75, Quota: 60}, {Name: "t1", Share: 0.25, Quota: 20}},
		EngineKinds:      map[string]EngineKind{"std": {Cores: 8, MemoryMB: 16384}},
		MaxGrantFraction: 0.4, EnginesReportCost: true,
		Limits: Limits{MaxAttempts: 3},
		Rules: Rules{
			MaxPollInterval: 10 * time.Second, SlowStartInitial: 0.4, SlowStartDuration: 14 * time.Second,
			OverloadMultiple: 2, OverloadWindow: 2 * time.Second,
		},
	}
}

// harness drives a controller by hand and keeps what it did; it models no engine.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
	timers     map[uint64]time.Duration // when they are due, by their tokens
	actions    []Action                 // all so far
	submitted  int                      // requests so far
}

func newHarness(t *testing.T, s Settings, engines ...Engine) *harness {
	t.Helper()
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, controller: c, now: 100 * time.Second, timers: map[uint64]time.Duration{}}
	h.handle(EndpointUpdate{Kind: EndpointSnapshot, Engines: engines})
	return h
}

// readyEngines are n engines, e00 and on.
func readyEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = readyEngine(fmt.Sprintf("e%02d", i))
	}
	return engines
}

func readyEngine(id string) Engine { return Engine{ID: id, Zone: "a", Kind: "std"} }

// handle gives the controller events and returns what was done.
func (h *harness) handle(events ...Event) []Action {
	out := h.controller.Handle(h.now, events)
	for _, a := range out {
		if s, ok := a.(SetTimer); ok {
			h.timers[s.Token] = h.now + s.After
		}
	}
	h.actions = append(h.actions, out...)
	return out
}

// advance lets time pass, fires timers as they come due, and returns what was done.
func (h *harness) advance(d time.Duration) []Action {
	from := len(h.actions)
	for end := h.now + d; h.now < end; {
		h.now += 5 * ms
		var fired []uint64
		for token, dueAt := range h.timers {
			if dueAt <= h.now {
				fired = append(fired, token)
				delete(h.timers, token)
			}
		}
		slices.Sort(fired)
		for _, token := range fired {
			h.handle(TimerFired{Token: token})
		}
	}
	return h.actions[from:]
}

// submit gives the controller a request of a class and returns its ID and what was done.
func (h *harness) submit(class string, change ...func(*Request)) (string, []Action) {
	h.submitted++
	q := Request{ID: fmt.Sprint("q", h.submitted), Class: class, Tenant: "t0", Deadline: h.now + 3*time.Second}
	for _, f := range change {
		f(&q)
	}
	return q.ID, h.handle(RequestReceived{Request: q})
}

// deadlineIn changes the deadline of a request that is submitted now.
func (h *harness) deadlineIn(d time.Duration) func(*Request) {
	return func(q *Request) { q.Deadline = h.now + d }
}

// actionsOf are the actions of one type.
func actionsOf[T Action](all []Action) []T {
	var out []T
	for _, a := range all {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func countOf[T Action](all []Action) int { return len(actionsOf[T](all)) }

// endAttempt ends an attempt; an answer closes its request.
func (h *harness) endAttempt(id string, number int, status Status) []Action {
	return h.handle(AttemptEnded{
		RequestID: id, Number: number, Status: status, Duration: 100 * ms, RequestClosed: status == OK,
		Work: 100 * ms, MemoryMB: 100,
	})
}

func requireEqual[T comparable](t *testing.T, what string, got, wanted T) {
	t.Helper()
	if got != wanted {
		t.Fatalf("%s: got %v, want %v", what, got, wanted)
	}
}

// succeed ends an attempt with the answer to its request.
func (h *harness) succeed(id string, number int, took, work time.Duration) []Action {
	return h.handle(AttemptEnded{
		RequestID: id, Number: number, Status: OK, RequestClosed: true, Duration: took, Work: work,
	})
}

// utilization is a load report of an engine.
func utilization(fraction units.Fraction) loadreport.Report {
	return loadreport.Report{Reported: true, Utilization: fraction}
}

// newHarnessUnderPressure is a rig whose one engine has reported far more load than its capacity.
func newHarnessUnderPressure(t *testing.T) *harness {
	t.Helper()
	s := baseSettings()
	s.EnginesReportLoad = true
	h := newHarness(t, s, readyEngine("e1"))
	id, _ := h.submit("quick")
	h.handle(AttemptEnded{
		RequestID: id, Status: OK, Duration: 100 * ms, RequestClosed: true, Work: 100 * ms, Report: utilization(3),
	})
	return h
}

// pooledSettings is baseSettings with so many brokers that the share of each in an engine is less than a
// request.
func pooledSettings() Settings {
	s := baseSettings()
	s.Brokers, s.Tenants[0].Quota, s.Tenants[1].Quota = 300, 900, 300
	return s
}

func newPooledHarness(t *testing.T, s Settings, n int) *harness {
	t.Helper()
	return newHarness(t, s, readyEngines(n)...)
}

// fleetSettings is a pooled deployment whose brokers probe and gossip.
func fleetSettings() Settings {
	s := pooledSettings()
	s.Limits.LoadProbes, s.Limits.Gossip, s.EnginesReportLoad = true, true, true
	return s
}
