package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For random events, the active version is the stable one or the canary, each change of it is an Apply action, and no
// version is tried during its backoff.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxCanaries = 100
		host := &host{
			simulation: newSimulation(cfg, 1),
			active:     "v1",
			backoffs:   map[Version]time.Duration{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			ev := drawEvent(t)
			host.now += observationInterval
			host.handleEvent(t, ev)
			if host.active != host.controller.Active() {
				t.Fatalf(
					"the active version is %s, want %s",
					host.active,
					host.controller.Active(),
				)
			}
		}
	})
}

// host performs the actions of a controller.
type host struct {
	*simulation

	active   Version
	backoffs map[Version]time.Duration // end of the shortest possible backoff of a version
}

func (h *host) handleEvent(t *rapid.T, ev Event) {
	before := h.active
	for _, a := range h.controller.Handle(h.now, ev) {
		switch a := a.(type) {
		case Apply:
			if h.now < h.backoffs[a.Version] && a.Version != h.controller.Stable() {
				t.Fatalf(
					"%s is tried during its backoff until %v",
					a.Version,
					h.backoffs[a.Version],
				)
			}
			h.active = a.Version
		case Decision:
			if a.Outcome == RolledBack {
				h.backoffs[a.Version] = h.now + h.controller.cfg.RollbackBackoff
			}
		}
	}
	if failed, ok := ev.(ApplyFailed); ok && failed.Version == before {
		h.active = h.controller.Active() // the previous version remains active
	}
}

func drawEvent(t *rapid.T) Event {
	v := Version(fmt.Sprint("v", rapid.IntRange(1, 4).Draw(t, "version")))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 2:
		return Proposed{v}
	case 3:
		return ApplyFailed{v, "a reason"}
	default:
		counts := Counts{Total: 400, Bad: float64(rapid.IntRange(0, 300).Draw(t, "bad"))}
		return Observed{Duration: observationInterval, Classes: map[string]Counts{"lookup": counts}}
	}
}
