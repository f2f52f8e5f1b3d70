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

// baseSettings returns a small deployment: a quick and a long class, two tenants and rules for a few engines.
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

// harness drives a controller step by step and records its actions. It does not simulate engines.
type harness struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
	timers     map[uint64]time.Duration // due times by token
	actions    []Action                 // all actions so far
	submitted  int                      // number of submitted requests
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

// readyEngines returns n engines, e00, e01 and so on.
func readyEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = readyEngine(fmt.Sprintf("e%02d", i))
	}
	return engines
}

func readyEngine(id string) Engine { return Engine{ID: id, Zone: "a", Kind: "std"} }

// handle passes events to the controller, starts its timers and returns its actions.
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

// advance lets time pass, fires timers when they are due and returns the controller's actions.
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

// submit passes a new request of a class to the controller and returns its ID and the controller's actions.
func (h *harness) submit(class string, change ...func(*Request)) (string, []Action) {
	h.submitted++
	r := Request{ID: fmt.Sprint("q", h.submitted), Class: class, Tenant: "t0", Deadline: h.now + 3*time.Second}
	for _, f := range change {
		f(&r)
	}
	return r.ID, h.handle(RequestReceived{Request: r})
}

// deadlineIn returns a change for submit that sets the deadline of the request.
func (h *harness) deadlineIn(d time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = h.now + d }
}

// actionsOf returns the actions of one type.
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

// endAttempt ends an attempt. Status OK closes its request.
func (h *harness) endAttempt(id string, number int, status Status) []Action {
	return h.handle(AttemptEnded{
		RequestID: id, Number: number, Status: status, Duration: 100 * ms, RequestClosed: status == OK,
		Work: 100 * ms, MemoryMB: 100,
	})
}

func requireEqual[T comparable](t *testing.T, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", name, got, want)
	}
}

// succeed ends an attempt with the response to its request.
func (h *harness) succeed(id string, number int, took, work time.Duration) []Action {
	return h.handle(AttemptEnded{
		RequestID: id, Number: number, Status: OK, RequestClosed: true, Duration: took, Work: work,
	})
}

// utilization returns a load report with that utilization.
func utilization(fraction units.Fraction) loadreport.Report {
	return loadreport.Report{Reported: true, Utilization: fraction}
}

// newHarnessUnderPressure returns a harness whose only engine has reported a load far over its capacity.
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

// pooledSettings returns baseSettings with so many brokers that engines are pooled: each broker's share of an
// engine's limit is less than one request.
func pooledSettings() Settings {
	s := baseSettings()
	s.Brokers, s.Tenants[0].Quota, s.Tenants[1].Quota = 300, 900, 300
	return s
}

func newPooledHarness(t *testing.T, s Settings, n int) *harness {
	t.Helper()
	return newHarness(t, s, readyEngines(n)...)
}

// fleetSettings returns a pooled deployment with load probes and gossip.
func fleetSettings() Settings {
	s := pooledSettings()
	s.Limits.LoadProbes, s.Limits.Gossip, s.EnginesReportLoad = true, true, true
	return s
}
