package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever happens: the active version is the stable one or the canary, each Apply says which, and no version
// is tried during its backoff.
func TestInvariants(t *testing.T) {
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
			host.applyEvent(t, ev)
			if host.active != host.controller.Active() {
				t.Fatalf(
					"the active version is %s, should be %s",
					host.active,
					host.controller.Active(),
				)
			}
		}
	})
}

// host carries out the actions of a controller.
type host struct {
	*simulation

	active   Version
	backoffs map[Version]time.Duration // until when a version must not be tried
}

func (h *host) applyEvent(t *rapid.T, ev Event) {
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
		h.active = h.controller.Active() // the host keeps the version before
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
