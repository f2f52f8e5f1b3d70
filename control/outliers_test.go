package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/outlier"
)

// An engine that fails fast looks idle; it must not attract the traffic, and half-open probes must return it.
func TestFastFailingEngineIsEjectedAndReturns(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	submit := func(requests int, failing bool) (toE1 int) {
		for range requests {
			id, got := r.submit("quick")
			for number := 0; number < 3 && countOf[SendAttempt](got) > 0; number++ {
				if actionsOf[SendAttempt](got)[0].Engine == "e1" {
					toE1++
					if failing {
						got = r.endAttempt(id, number, Failed)
						continue
					}
				}
				r.endAttempt(id, number, OK)
				break
			}
			r.advance(20 * ms)
		}
		return toE1
	}
	const failing, healthy = true, false
	if n := submit(200, failing); n > 20 {
		t.Fatalf("%d of 200 requests went to a failing engine", n)
	}
	r.advance(10 * time.Second) // without traffic, its failure rate decays
	submit(400, healthy)
	if n := submit(150, healthy); n < 20 {
		t.Fatalf("only %d of 150 requests went to an engine that works again", n)
	}
}

func TestEjectedEnginesAreUsedWhenTheyAreMost(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	r.controller.eject(r.controller.endpoints.byID["e1"], outlier.Failing)
	r.controller.eject(r.controller.endpoints.byID["e2"], outlier.Failing)
	seen := map[string]bool{}
	for range 20 {
		_, got := r.submit("quick")
		seen[actionsOf[SendAttempt](got)[0].Engine] = true
	}
	requireEqual(t, "engines tried", len(seen), 3)
}

// Attempts that end together with their connection count against the engine once: one reset is no sign of a
// failing engine, however many attempts it ends.
func TestFailuresOfOneCauseCountOnce(t *testing.T) {
	for name, c := range map[string]struct{ shared, ejected bool }{
		"one cause":      {true, false},
		"each by itself": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
			for i := range 8 {
				r.handle(RequestReceived{Request{
					ID: fmt.Sprint(i), Class: "quick", Tenant: "t0", Deadline: r.now + time.Second,
				}})
			}
			sent := map[string][]SendAttempt{}
			for _, a := range r.actions {
				if s, ok := a.(SendAttempt); ok {
					sent[s.Engine] = append(sent[s.Engine], s)
				}
			}
			for i, s := range sent["e1"] {
				r.handle(AttemptEnded{
					RequestID: s.RequestID, Engine: "e1", Status: ConnectionReset, SharedCause: c.shared && i > 0,
				})
			}
			if len(sent["e1"]) < 3 || r.controller.endpoints.byID["e1"].health.Ejected() != c.ejected {
				t.Errorf("%d were in flight, ejected is %v", len(sent["e1"]), !c.ejected)
			}
		})
	}
}

func TestEngineAtCapacityRests(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	id, got := r.submit("quick")
	atCapacity := actionsOf[SendAttempt](got)[0].Engine
	got = r.endAttempt(id, 0, AtCapacity)
	requireEqual(t, "elsewhere", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	for range 5 {
		_, got = r.submit("quick")
		requireEqual(t, "not at capacity", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	}
}
