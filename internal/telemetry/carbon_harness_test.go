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

// startCarbon starts an emulated carbon server and returns it with its reconciler and the settings of a destination for
// it.
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
func await(t *testing.T, received *collector.Reconciler, condition string,
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
			select { // waits for the end of a burst: reconciling after each sample is too expensive
			case <-time.After(10 * time.Millisecond):
			case <-timeout:
			}
		case <-timeout:
			t.Fatalf("timeout waiting for %s: got %d samples, %d incarnations, violations %v",
				condition, f.Samples, len(f.Incarnations), f.Violations)
		}
	}
}

// awaitAllCounted waits until a collector's counters include every recorded request, and checks that there are no
// violations.
func (h *harness) awaitAllCounted(received *collector.Reconciler) *collector.Findings {
	h.t.Helper()
	want := float64(h.requests["lookup"])
	f := await(h.t, received, "all recorded requests in the counters", func(f *collector.Findings) bool {
		if len(f.Incarnations) != 1 || f.Incarnations[0].LastSequence != h.intervalCount() {
			return false
		}
		// The newest interval is delivered first. An earlier one may contain the last values of a retired name.
		for _, id := range []metrics.ID{
			metrics.Requests, metrics.RequestsByTenant, metrics.RequestsByDataSet,
			metrics.RequestOutcomes, metrics.RequestOutcomesByTenant,
		} {
			if got := f.Incarnations[0].Total(id); got > want {
				h.t.Fatalf("%s: collector has %v, only %v were recorded", metrics.Catalogue[id].Name, got, want)
			} else if got < want {
				return false
			}
		}
		return true
	})
	if !f.OK() {
		h.t.Fatalf("collector found violations %v, unknown %v, malformed %v", f.Violations, f.Unknown, f.Malformed)
	}
	return f
}

// complete reports whether a collector has all intervals up to the last one that it received.
func complete(f *collector.Findings) bool {
	return len(f.Incarnations) == 1 && f.Incarnations[0].Missing() == 0 && f.Incomplete == 0
}

// completeTo returns a condition that is true when a collector has all intervals up to number last.
func completeTo(last uint64) func(*collector.Findings) bool {
	return func(f *collector.Findings) bool { return complete(f) && f.Incarnations[0].LastSequence == last }
}
