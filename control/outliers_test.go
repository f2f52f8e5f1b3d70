package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/outlier"
)

// An engine that fails fast has few attempts in flight. It must not attract traffic because of that, and
// half-open probes must return it to service.
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
		t.Fatalf("%d of 200 requests were sent to a failing engine, want at most 20", n)
	}
	h.advance(10 * time.Second) // without traffic, its failure rate decays
	submit(400, healthy)
	if n := submit(150, healthy); n < 20 {
		t.Fatalf("%d of 150 requests were sent to an engine that recovered, want at least 20", n)
	}
}

func TestEjectedEnginesAreUsedWhenMostAreEjected(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	h.controller.eject(h.controller.endpoints.byID["e1"], outlier.Failing)
	h.controller.eject(h.controller.endpoints.byID["e2"], outlier.Failing)
	seen := map[string]bool{}
	for range 20 {
		_, got := h.submit("quick")
		seen[actionsOf[SendAttempt](got)[0].Engine] = true
	}
	requireEqual(t, "engines used", len(seen), 3)
}

// Attempts that end together with their connection count as one failure of the engine: a single reset does
// not indicate a failing engine, however many attempts it ends.
func TestFailuresOfOneCauseCountOnce(t *testing.T) {
	for name, c := range map[string]struct{ shared, ejected bool }{
		"one shared cause": {true, false},
		"separate causes":  {false, true},
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
				t.Errorf("%d attempts in flight at e1, want at least 3; ejected: %v, want %v", len(sent["e1"]),
					h.controller.endpoints.byID["e1"].health.Ejected(), c.ejected)
			}
		})
	}
}

func TestEngineAtCapacityGetsNoRequestsForAWhile(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	atCapacity := actionsOf[SendAttempt](got)[0].Engine
	got = h.endAttempt(id, 0, AtCapacity)
	requireEqual(t, "retried elsewhere", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	for range 5 {
		_, got = h.submit("quick")
		requireEqual(t, "sent elsewhere", actionsOf[SendAttempt](got)[0].Engine != atCapacity, true)
	}
}
