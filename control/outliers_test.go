package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/outlier"
)

// An engine that fails fast looks idle; it must not attract the traffic, and half-open probes must return it.
func TestFastFailingEngineIsEjectedAndReturns(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	submit := func(requests int, failing bool) (toE1 int) {
		for range requests {
			id, got := h.submit("quick")
			for number := 0; number < 3 && countOf[SendAttempt](got) > 0; number++ {
				if actionsOf[SendAttempt](got)[0].Engine == "e1" {
					toE1++
					if failing {
						got = h.endAttempt(id, number, Failed)
						continue
					}
				}
				h.endAttempt(id, number, OK)
				break
			}
			h.advance(20 * ms)
		}
		return toE1
	}
	const failing, healthy = true, false
	if n := submit(200, failing); n > 20 {
		t.Fatalf("%d of 200 requests went to a failing engine", n)
	}
	h.advance(10 * time.Second) // without traffic, its failure rate decays
	submit(400, healthy)
	if n := submit(150, healthy); n < 20 {
		t.Fatalf("only %d of 150 requests went to an engine that works again", n)
	}
}

func TestEjectedEnginesAreUsedWhenTheyAreMost(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	h.controller.eject(h.controller.endpoints.byID["e1"], outlier.Failing)
	h.controller.eject(h.controller.endpoints.byID["e2"], outlier.Failing)
	seen := map[string]bool{}
	for range 20 {
		_, got := h.submit("quick")
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
			h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
			for i := range 8 {
				h.handle(RequestReceived{Request{
					ID: fmt.Sprint(i), Class: "quick", Tenant: "t0", Deadline: h.now + time.Second,
				}})
			}
			sent := map[string][]SendAttempt{}
			for _, a := range h.actions {
				if s, ok := a.(SendAttempt); ok {
					sent[s.Engine] = append(sent[s.Engine], s)
				}
			}
			for i, s := range sent["e1"] {
				h.handle(AttemptEnded{
					RequestID: s.RequestID, Engine: "e1", Status: ConnectionReset, SharedCause: c.shared && i > 0,
				})
			}
			if len(sent["e1"]) < 3 || h.controller.endpoints.byID["e1"].health.Ejected() != c.ejected {
				t.Errorf("%d were in flight, ejected is %v", len(sent["e1"]), !c.ejected)
			}
		})
	}
}

func TestEngineAtCapacityRests(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	atCapacity := actionsOf[SendAttempt](got)[0].Engine
	got = h.endAttempt(id, 0, AtCapacity)
	requireEqual(t, "elsewhere", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	for range 5 {
		_, got = h.submit("quick")
		requireEqual(t, "not at capacity", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	}
}
