package telemetry

import (
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
)

// A reload names another address while a backlog waits: it goes there.
func TestReloadMovesTheBacklog(t *testing.T) {
	c, old, g := startCarbon(t, false)
	r := startRig(t, telemetryFile(g))
	r.intervals(3)
	await(t, old, "a first interval", func(f *collector.Findings) bool { return len(f.Runs) == 1 })
	c.Set(collector.Unreachable)
	r.intervals(10)
	_, received, moved := startCarbon(t, false)
	r.reporter.Reload(t.Context(), telemetryFile(moved))
	r.intervals(2)
	await(t, received, "what waited", func(f *collector.Findings) bool {
		return len(f.Runs) == 1 && f.Runs[0].Of >= 10
	})
	r.finish()
	r.awaitAllCounted(received)
}

// A reload that takes a destination away stops it, and one that adds one starts it. The first gets each
// interval from before the reload and none from after it, however late its collector reads, and though the
// writing takes longer than stopTimeout, as it does on a busy machine.
func TestReloadStopsAndStartsDestinations(t *testing.T) {
	for _, tt := range []struct {
		name string
		mode collector.Mode // of the first collector, until it serves
	}{
		{"it reads at once", collector.Serve},
		{"it reads after the end", collector.Silent},
		{"it comes back late", collector.Unreachable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, receivedFirst, first := startCarbon(t, false)
			c.Set(tt.mode)
			_, receivedSecond, second := startCarbon(t, true)
			second.Name = "second"
			r := startRig(t, telemetryFile(first))
			r.intervals(2)
			stopped := r.reporter.destinations["carbon"]
			r.reporter.Reload(t.Context(), telemetryFile(second))
			r.intervals(3)
			if tt.mode == collector.Unreachable {
				defer time.AfterFunc(2*stopTimeout, func() { c.Set(collector.Serve) }).Stop()
			}
			r.finish()
			if s := stopped.stats.Load(); s.DeliveredIntervals != 2 || s.LostIntervals != 0 || s.WaitingIntervals != 0 {
				t.Fatalf("the first destination ended with %+v", s)
			}
			r.awaitAllCounted(receivedSecond)
			if tt.mode == collector.Silent { // all is acknowledged, and nothing is read yet
				if f := receivedFirst.Reconcile(); f.Samples != 0 {
					t.Fatalf("a collector that does not read has %d samples", f.Samples)
				}
				c.Set(collector.Serve)
			}
			f := await(t, receivedFirst, "what came before the reload", func(f *collector.Findings) bool {
				return complete(f) && f.Runs[0].Of == 2
			})
			if f.Runs[0].Last != 2 || receivedSecond.Reconcile().Runs[0].Last != r.cuts() {
				t.Fatalf("the first destination sent %+v", f.Runs)
			}
		})
	}
}
