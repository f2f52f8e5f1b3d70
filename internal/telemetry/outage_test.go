package telemetry

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

// A collector is away for six hundred seconds by its own clock, under load. Memory stays within the budget,
// and after its return every counter sums to what the broker counted: nothing is missing, and of
// distributions nothing is lost.
func TestBacklogOfAnOutageIsDelivered(t *testing.T) {
	c, received, g := startCarbon(t, false)
	g.BudgetKB = 64 // so that folding is needed
	r := startRig(t, telemetryFile(g))
	r.intervals(3)
	await(t, received, "the first intervals", completeTo(3))
	c.Set(collector.Unreachable)
	for range 60 {
		r.intervals(1)
		if held := r.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.Set(collector.Serve)
	await(t, received, "the backlog", completeTo(63))
	r.finish()
	f := r.awaitAllCounted(received)
	folded, samples := false, 0.0
	for _, v := range f.Runs[0].Intervals {
		folded = folded || v.Of > 1
		samples += v.Spreads[metrics.Series{Figure: metrics.AnswerTime, Name: "lookup"}]["count"]
	}
	if !folded {
		t.Error("the budget held all without folding: the test shows nothing")
	}
	if samples != float64(r.requests["lookup"]) || f.Duplicated > 0 {
		t.Errorf("distributions hold %v of %d answers, %d came twice", samples, r.requests["lookup"], f.Duplicated)
	}
}

// It accepts and never reads: the connection is given up, again and again, and memory stays within the
// budget.
func TestMemoryIsBoundedWhileACollectorReadsNothing(t *testing.T) {
	c, received, g := startCarbon(t, false)
	g.BudgetKB = 64
	c.Set(collector.Silent)
	r := startRig(t, telemetryFile(g))
	for range 100 {
		r.intervals(1)
		if held := r.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.Set(collector.Serve)
	r.intervals(2)
	await(t, received, "a new interval", func(f *collector.Findings) bool {
		return len(f.Runs) == 1 && f.Runs[0].Last == 102
	})
	r.finish()
	r.awaitAllCounted(received)
}

// Connections are reset in the middle of lines, again and again: no line is truncated, and none comes twice.
func TestNoLineIsDuplicatedByResets(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		t.Run(fmt.Sprintf("pickle %v", pickle), func(t *testing.T) {
			c, received, g := startCarbon(t, pickle)
			r := startRig(t, telemetryFile(g))
			c.Set(collector.Truncating)
			r.intervals(40)
			c.Set(collector.Serve)
			r.intervals(2)
			r.finish()
			if f := r.awaitAllCounted(received); f.Duplicated > 0 {
				t.Fatalf("%d lines came twice", f.Duplicated)
			}
		})
	}
}

func TestBacklogOfASlowCollectorIsDelivered(t *testing.T) {
	c, received, g := startCarbon(t, false)
	r := startRig(t, telemetryFile(g))
	c.Set(collector.Slow)
	r.intervals(20)
	c.Set(collector.Serve)
	r.intervals(2)
	await(t, received, "the backlog", completeTo(22))
	r.finish()
	r.awaitAllCounted(received)
}

// Two destinations, one of which reads nothing: the other misses nothing, and gets each interval by itself.
func TestDestinationsAreIndependent(t *testing.T) {
	c, _, unread := startCarbon(t, false)
	c.Set(collector.Silent)
	unread.Name = "unread"
	_, received, g := startCarbon(t, false)
	r := startRig(t, telemetryFile(unread, g))
	r.intervals(40)
	await(t, received, "each interval", completeTo(40))
	r.finish()
	r.awaitAllCounted(received)
	f := await(t, received, "the last one", complete)
	if len(f.Runs[0].Intervals) != int(f.Runs[0].Last) {
		t.Fatalf("%d intervals of %d", len(f.Runs[0].Intervals), f.Runs[0].Last)
	}
}

// At the end the last interval is delivered, or counted lost, within its time.
func TestLastIntervalIsDeliveredOrCountedLost(t *testing.T) {
	c, received, g := startCarbon(t, false)
	r := startRig(t, telemetryFile(g))
	r.intervals(3)
	close(r.draining)
	r.load("lookup", 5)
	r.finish()
	r.awaitAllCounted(received)
	await(t, received, "each interval", complete)

	c.Set(collector.Silent)
	r = startRigAt(t, telemetryFile(g), rigStart, stopTimeout)
	r.intervals(200) // more than the sockets take
	r.finish()
	stats := r.reporter.destinations["carbon"].stats.Load()
	if stats.WaitingIntervals != 0 || stats.DeliveredIntervals+stats.LostIntervals != r.cuts() || stats.LostIntervals == 0 {
		t.Fatalf("%d intervals ended: %+v", r.cuts(), stats)
	}
}

// A broker that is killed and starts again counts from zero; a collector can tell that from a counter that
// fell.
func TestCountersOfARestart(t *testing.T) {
	_, received, g := startCarbon(t, false)
	first := startRig(t, telemetryFile(g))
	first.intervals(5)
	first.finish()
	second := startRigAt(t, telemetryFile(g), first.wall.read()+time.Minute, testTimeout)
	second.intervals(3)
	second.finish()
	f := await(t, received, "both runs", func(f *collector.Findings) bool {
		return len(f.Runs) == 2 && f.Runs[0].Last == first.cuts() && f.Runs[1].Last == second.cuts()
	})
	if !f.OK() {
		t.Fatalf("%+v", f)
	}
	for i, r := range []*rig{first, second} {
		if got := f.Runs[i].Total(metrics.Requests); got != float64(r.requests["lookup"]) {
			t.Errorf("run %d: %v of %d", i, got, r.requests["lookup"])
		}
	}
}
