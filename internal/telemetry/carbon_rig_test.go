package telemetry

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
	"wheatlane/internal/operatorconfig"
)

// startCarbon starts an emulated carbon server and returns its reconciler and the settings of a destination
// for it.
func startCarbon(t *testing.T, pickle bool) (*collector.Carbon, *collector.Reconciler,
	operatorconfig.Graphite,
) {
	t.Helper()
	received := collector.NewReconciler(nil)
	c, err := collector.NewCarbon("127.0.0.1:0", graphite.PathFormat{Prefix: "w"}, pickle, received)
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, c.Run)
	g := operatorconfig.Graphite{Name: "carbon", Address: c.Addr()}
	if pickle {
		g.Protocol = "pickle"
	}
	return c, received, g
}

func runUntilCleanup(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// await waits until what a collector received satisfies a condition.
func await(t *testing.T, received *collector.Reconciler, what string,
	ok func(*collector.Findings) bool,
) *collector.Findings {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		changed := received.Changed()
		f := received.Reconcile()
		if ok(f) {
			return f
		}
		select {
		case <-changed:
			select { // the rest of a burst: reconciling for each sample costs too much
			case <-time.After(10 * time.Millisecond):
			case <-timeout:
			}
		case <-timeout:
			t.Fatalf("%s: not seen: %d samples, %d runs, %v", what, f.Samples, len(f.Incarnations), f.Violations)
		}
	}
}

// awaitAllCounted waits until a collector has every request that was recorded in its counters, and checks
// that no rule was broken.
func (r *rig) awaitAllCounted(received *collector.Reconciler) *collector.Findings {
	r.t.Helper()
	want := float64(r.requests["lookup"])
	f := await(r.t, received, "every count", func(f *collector.Findings) bool {
		if len(f.Incarnations) != 1 || f.Incarnations[0].LastSequence != r.cuts() {
			return false
		}
		// The newest interval comes first: an earlier one may have the last values of a name that has
		// retired.
		for _, id := range []metrics.ID{
			metrics.Requests, metrics.RequestsByTenant, metrics.RequestsByDataSet,
			metrics.RequestOutcomes, metrics.RequestOutcomesByTenant,
		} {
			if got := f.Incarnations[0].Total(id); got > want {
				r.t.Fatalf("%s: %v of %v", metrics.Catalogue[id].Name, got, want)
			} else if got < want {
				return false
			}
		}
		return true
	})
	if !f.OK() {
		r.t.Fatalf("faults %v, unknown %v, malformed %v", f.Violations, f.Unknown, f.Malformed)
	}
	return f
}

// complete reports whether a collector has every interval that it knows of.
func complete(f *collector.Findings) bool {
	return len(f.Incarnations) == 1 && f.Incarnations[0].Missing() == 0 && f.Incomplete == 0
}

// completeTo reports whether a collector has every interval up to the last.
func completeTo(last uint64) func(*collector.Findings) bool {
	return func(f *collector.Findings) bool { return complete(f) && f.Incarnations[0].LastSequence == last }
}
