package control

import (
	"fmt"
	"testing"
	"time"
)

// An engine that fails fast looks idle; it must not attract the traffic, and half-open probes must return it.
func TestFastFailingEngineIsEjectedAndReturns(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	count := func(bad bool, n int) (sent int) {
		for range n {
			id, got := r.submit("quick")
			for k := 0; k < 3 && countOf[SendAttempt](got) > 0; k++ {
				if actionsOf[SendAttempt](got)[0].Engine == "e1" {
					sent++
					if bad {
						got = r.endAttempt(id, k, Failed)
						continue
					}
				}
				r.endAttempt(id, k, OK)
				break
			}
			r.advance(20 * ms)
		}
		return sent
	}
	if n := count(true, 200); n > 20 {
		t.Fatalf("%d of 200 requests went to a failing engine", n)
	}
	r.advance(10 * time.Second) // without traffic, its failure rate decays
	count(false, 400)
	if n := count(false, 150); n < 20 {
		t.Fatalf("only %d of 150 requests went to an engine that works again", n)
	}
}

func TestEjectedEnginesAreUsedWhenTheyAreMost(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	r.controller.eject(r.controller.endpoints.byID["e1"], "failing")
	r.controller.eject(r.controller.endpoints.byID["e2"], "failing")
	seen := map[string]bool{}
	for range 20 {
		_, got := r.submit("quick")
		seen[actionsOf[SendAttempt](got)[0].Engine] = true
	}
	requireEqual(t, "engines tried", len(seen), 3)
}

// Attempts that end together with their connection count against the engine once. Seen on a day with faulty
// peers: one reset ended all attempts of its connection, each counted, and a healthy engine was ejected.
func TestFailuresOfOneCauseCountOnce(t *testing.T) {
	for shared, down := range map[bool]bool{true: false, false: true} {
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
				RequestID: s.RequestID, Engine: "e1", Status: ConnectionReset, SharedCause: shared && i > 0,
			})
		}
		if len(sent["e1"]) < 3 || r.controller.endpoints.byID["e1"].ejected != down {
			t.Errorf("shared %v: %d were out, down is %v", shared, len(sent["e1"]), !down)
		}
	}
}

func TestEngineAtCapacityRests(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	id, got := r.submit("quick")
	full := actionsOf[SendAttempt](got)[0].Engine
	got = r.endAttempt(id, 0, AtCapacity)
	requireEqual(t, "elsewhere", actionsOf[SendAttempt](got)[0].Engine != full, true)
	for range 5 {
		_, got = r.submit("quick")
		requireEqual(t, "not to the full one", actionsOf[SendAttempt](got)[0].Engine != full, true)
	}
}
