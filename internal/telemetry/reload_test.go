package telemetry

import (
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
)

// A reload changes the address of a destination while a backlog waits. The backlog is sent to the new address.
func TestReloadMovesTheBacklog(t *testing.T) {
	c, old, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(g))
	h.intervals(3)
	await(t, old, "the first interval", func(f *collector.Findings) bool { return len(f.Incarnations) == 1 })
	c.SetMode(collector.Unreachable)
	h.intervals(10)
	_, received, moved := startCarbon(t, false)
	h.reporter.Reload(t.Context(), telemetryFile(moved))
	h.intervals(2)
	await(t, received, "the backlog", func(f *collector.Findings) bool {
		return len(f.Incarnations) == 1 && f.Incarnations[0].Represented >= 10
	})
	h.finish()
	h.awaitAllCounted(received)
}

// A reload stops a removed destination and starts an added one. The removed destination must receive each interval from
// before the reload and none from after it, regardless of when its collector reads. The test allows more time than
// stopTimeout, as writing takes longer on a busy machine.
func TestReloadStopsAndStartsDestinations(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode collector.Mode // initial mode of the first collector
	}{
		{"collector reads immediately", collector.Serve},
		{"collector reads after the end", collector.Silent},
		{"collector recovers after the stop timeout", collector.Unreachable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, receivedFirst, first := startCarbon(t, false)
			c.SetMode(tt.mode)
			_, receivedSecond, second := startCarbon(t, true)
			second.Name = "second"
			h := startHarness(t, telemetryFile(first))
			h.intervals(2)
			stopped := h.reporter.destinations["carbon"]
			h.reporter.Reload(t.Context(), telemetryFile(second))
			h.intervals(3)
			if tt.mode == collector.Unreachable {
				defer time.AfterFunc(2*stopTimeout, func() { c.SetMode(collector.Serve) }).Stop()
			}
			h.finish()
			if s := stopped.stats.Load(); s.DeliveredIntervals != 2 || s.LostIntervals != 0 || s.WaitingIntervals != 0 {
				t.Fatalf("the first destination: got %+v, want 2 intervals delivered, none lost or waiting", s)
			}
			h.awaitAllCounted(receivedSecond)
			if tt.mode == collector.Silent { // everything is acknowledged, but nothing is read yet
				if f := receivedFirst.Reconcile(); f.Samples != 0 {
					t.Fatalf("collector in silent mode: got %d samples, want 0", f.Samples)
				}
				c.SetMode(collector.Serve)
			}
			f := await(t, receivedFirst, "the intervals before the reload", func(f *collector.Findings) bool {
				return complete(f) && f.Incarnations[0].Represented == 2
			})
			if f.Incarnations[0].LastSequence != 2 ||
				receivedSecond.Reconcile().Incarnations[0].LastSequence != h.intervalCount() {
				t.Fatalf("the first destination also sent intervals after the reload: %+v", f.Incarnations)
			}
		})
	}
}
