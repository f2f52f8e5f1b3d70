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
			r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
			r.handle(update)
			for range 20 {
				id, got := r.submit("quick")
				requireEqual(t, "engine", actionsOf[SendAttempt](got)[0].Engine, "e2")
				r.endAttempt(id, 0, OK)
			}
		})
	}
}

func TestEndpointListIsPolledAgainAfterAFailure(t *testing.T) {
	s := baseSettings()
	s.WatchEndpointList = true
	r := newRig(t, s, readyEngine("e1"))
	requireEqual(t, "first", countOf[WatchEndpoints](r.advance(300*ms)), 1)
	requireEqual(t, "while it holds", countOf[WatchEndpoints](r.advance(20*time.Second)), 0)
	r.handle(EndpointUpdate{Kind: EndpointWatchFailed})
	requireEqual(t, "again", countOf[WatchEndpoints](r.advance(3*time.Second)), 1)
}

func TestRestartResetsOutlierState(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	e := r.controller.endpoints.byID["e1"]
	r.controller.eject(e, outlier.Failing)
	for range 20 {
		r.controller.outliers.RecordFailure(&e.health, true)
	}
	requireEqual(t, "failure rate before", e.health.FailureRate() > 0.9, true)
	restarted := readyEngine("e1")
	restarted.StartedAt = r.now
	r.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{restarted}})
	requireEqual(t, "ejected", e.health.Ejected(), false)
	requireEqual(t, "failure rate", e.health.FailureRate(), 0.0)
	requireEqual(t, "in slow start", r.controller.slowStart.Active(e.slowStartInput(), r.now), true)
}

// The state of removed engines is dropped, so that it does not add up where engines are replaced all day.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	r := newRig(t, baseSettings(), readyEngine("e0"))
	for i := range 20 {
		old, fresh := readyEngine(fmt.Sprintf("e%d", i)), readyEngine(fmt.Sprintf("e%d", i+1))
		old.State = Removed
		r.controller.emitThrottled(logSubject{ejected, old.ID}, EngineEjected{Engine: old.ID})
		r.controller.emitThrottled(logSubject{restored, old.ID}, EngineRestored{Engine: old.ID})
		r.handle(EndpointUpdate{Engines: []Engine{old, fresh}})
		r.advance(2 * controlInterval)
	}
	all, byID := r.controller.endpoints.all, r.controller.endpoints.byID
	logged := r.controller.noticeThrottle.Len()
	if len(all) != 1 || len(byID) != 1 || logged != 0 {
		t.Fatalf("%d engines, %d by ID, %d log lines are remembered", len(all), len(byID), logged)
	}
}
