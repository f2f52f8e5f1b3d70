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

func TestEndpointListIsWatchedAgainAfterAFailure(t *testing.T) {
	s := baseSettings()
	s.WatchEndpointList = true
	h := newHarness(t, s, readyEngine("e1"))
	requireEqual(t, "first watch", countOf[WatchEndpoints](h.advance(300*ms)), 1)
	requireEqual(t, "watches while the first one lasts", countOf[WatchEndpoints](h.advance(20*time.Second)), 0)
	h.handle(EndpointUpdate{Kind: EndpointWatchFailed})
	requireEqual(t, "watches after the failure", countOf[WatchEndpoints](h.advance(3*time.Second)), 1)
}

func TestRestartResetsOutlierState(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	e := h.controller.endpoints.byID["e1"]
	h.controller.eject(e, outlier.Failing)
	for range 20 {
		h.controller.outliers.RecordFailure(&e.health, true)
	}
	requireEqual(t, "high failure rate before the restart", e.health.FailureRate() > 0.9, true)
	restarted := readyEngine("e1")
	restarted.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{restarted}})
	requireEqual(t, "ejected", e.health.Ejected(), false)
	requireEqual(t, "failure rate", e.health.FailureRate(), 0.0)
	requireEqual(t, "in slow start", h.controller.slowStart.Active(e.slowStartInput(), h.now), true)
}

// The state of removed engines is dropped. Otherwise memory would grow where engines are replaced
// continuously.
func TestStateOfRemovedEnginesIsDropped(t *testing.T) {
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
	notices := h.controller.noticeThrottle.Len()
	if len(all) != 1 || len(byID) != 1 || notices != 0 {
		t.Fatalf("%d engines, %d by ID, %d throttled notices, want 1, 1 and 0", len(all), len(byID), notices)
	}
}
