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
	c.SetMode(collector.Unreachable)
	for range 60 {
		r.intervals(1)
		if held := r.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.SetMode(collector.Serve)
	await(t, received, "the backlog", completeTo(63))
	r.finish()
	f := r.awaitAllCounted(received)
	folded, samples := false, 0.0
	for _, v := range f.Incarnations[0].Intervals {
		folded = folded || v.Represented > 1
		samples += v.Distributions[metrics.Series{ID: metrics.AnswerTime, Name: "lookup"}]["count"]
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
	c.SetMode(collector.Silent)
	r := startRig(t, telemetryFile(g))
	for range 100 {
		r.intervals(1)
		if held := r.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held", held)
		}
	}
	c.SetMode(collector.Serve)
	r.intervals(2)
	await(t, received, "a new interval", func(f *collector.Findings) bool {
		return len(f.Incarnations) == 1 && f.Incarnations[0].LastSequence == 102
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
			c.SetMode(collector.Truncating)
			r.intervals(40)
			c.SetMode(collector.Serve)
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
	c.SetMode(collector.Slow)
	r.intervals(20)
	c.SetMode(collector.Serve)
	r.intervals(2)
	await(t, received, "the backlog", completeTo(22))
	r.finish()
	r.awaitAllCounted(received)
}

// Two destinations, one of which reads nothing: the other misses nothing, and gets each interval by itself.
func TestDestinationsAreIndependent(t *testing.T) {
	c, _, unread := startCarbon(t, false)
	c.SetMode(collector.Silent)
	unread.Name = "unread"
	_, received, g := startCarbon(t, false)
	r := startRig(t, telemetryFile(unread, g))
	r.intervals(40)
	await(t, received, "each interval", completeTo(40))
	r.finish()
	r.awaitAllCounted(received)
	f := await(t, received, "the last one", complete)
	if len(f.Incarnations[0].Intervals) != int(f.Incarnations[0].LastSequence) {
		t.Fatalf("%d intervals of %d", len(f.Incarnations[0].Intervals), f.Incarnations[0].LastSequence)
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

	c.SetMode(collector.Silent)
	r = startRigAt(t, telemetryFile(g), rigStart, stopTimeout)
	r.intervals(200) // more than the sockets take
	r.finish()
	stats := r.reporter.destinations["carbon"].stats.Load()
	ended := stats.DeliveredIntervals + stats.LostIntervals
	if stats.WaitingIntervals != 0 || ended != r.cuts() || stats.LostIntervals == 0 {
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
		runs := f.Incarnations
		return len(runs) == 2 && runs[0].LastSequence == first.cuts() && runs[1].LastSequence == second.cuts()
	})
	if !f.OK() {
		t.Fatalf("%+v", f)
	}
	for i, r := range []*rig{first, second} {
		if got := f.Incarnations[i].Total(metrics.Requests); got != float64(r.requests["lookup"]) {
			t.Errorf("run %d: %v of %d", i, got, r.requests["lookup"])
		}
	}
}
