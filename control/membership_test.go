package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/outlier"
)

func TestDrainingOrRemovedEngineGetsNoAttempts(t *testing.T) {
	draining, removed := readyEngine("e1"), readyEngine("e1")
	draining.State, removed.State = Draining, Removed
	for name, update := range map[string]EndpointUpdate{
		"draining":                {Kind: EndpointDelta, Engines: []Engine{draining}},
		"removed":                 {Kind: EndpointDelta, Engines: []Engine{removed}},
		"missing from a snapshot": {Kind: EndpointSnapshot, Engines: []Engine{readyEngine("e2")}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
			h.handle(update)
			for range 20 {
				id, got := h.submit("quick")
				requireEqual(t, "engine", actionsOf[SendAttempt](got)[0].Engine, "e2")
				h.endAttempt(id, 0, OK)
			}
		})
	}
}

func TestEndpointListIsPolledAgainAfterAFailure(t *testing.T) {
	s := baseSettings()
	s.WatchEndpointList = true
	h := newHarness(t, s, readyEngine("e1"))
	requireEqual(t, "first", countOf[WatchEndpoints](h.advance(300*ms)), 1)
	requireEqual(t, "while it holds", countOf[WatchEndpoints](h.advance(20*time.Second)), 0)
	h.handle(EndpointUpdate{Kind: EndpointWatchFailed})
	requireEqual(t, "again", countOf[WatchEndpoints](h.advance(3*time.Second)), 1)
}

func TestRestartResetsOutlierState(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	e := h.controller.endpoints.byID["e1"]
	h.controller.eject(e, outlier.Failing)
	for range 20 {
		h.controller.outliers.RecordFailure(&e.health, true)
	}
	requireEqual(t, "failure rate before", e.health.FailureRate() > 0.9, true)
	restarted := readyEngine("e1")
	restarted.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{restarted}})
	requireEqual(t, "ejected", e.health.Ejected(), false)
	requireEqual(t, "failure rate", e.health.FailureRate(), 0.0)
	requireEqual(t, "in slow start", h.controller.slowStart.Active(e.slowStartInput(), h.now), true)
}

// The state of removed engines is dropped, so that it does not add up where engines are replaced all day.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e0"))
	for i := range 20 {
		old, fresh := readyEngine(fmt.Sprintf("e%d", i)), readyEngine(fmt.Sprintf("e%d", i+1))
		old.State = Removed
		h.controller.emitThrottled(noticeKey{ejected, old.ID}, EngineEjected{Engine: old.ID})
		h.controller.emitThrottled(noticeKey{restored, old.ID}, EngineRestored{Engine: old.ID})
		h.handle(EndpointUpdate{Engines: []Engine{old, fresh}})
		h.advance(2 * controlInterval)
	}
	all, byID := h.controller.endpoints.all, h.controller.endpoints.byID
	logged := h.controller.noticeThrottle.Len()
	if len(all) != 1 || len(byID) != 1 || logged != 0 {
		t.Fatalf("%d engines, %d by ID, %d log lines are remembered", len(all), len(byID), logged)
	}
}
