package telemetry

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

// A collector is unreachable for 600 s of simulated time while the broker is under load. Memory stays within the
// budget, and after the outage each counter of the collector equals the broker's, and no sample of a distribution is
// lost.
func TestBacklogOfAnOutageIsDelivered(t *testing.T) {
	c, received, g := startCarbon(t, false)
	g.BudgetKB = 64 // too small without merging
	h := startHarness(t, telemetryFile(g))
	h.intervals(3)
	await(t, received, "the first intervals", completeTo(3))
	c.SetMode(collector.Unreachable)
	for range 60 {
		h.intervals(1)
		if held := h.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held, budget is %d", held, 64<<10)
		}
	}
	c.SetMode(collector.Serve)
	await(t, received, "the backlog", completeTo(63))
	h.finish()
	f := h.awaitAllCounted(received)
	merged, samples := false, 0.0
	for _, v := range f.Incarnations[0].Intervals {
		merged = merged || v.Represented > 1
		samples += v.Distributions[metrics.Series{ID: metrics.AnswerTime, Name: "lookup"}]["count"]
	}
	if !merged {
		t.Error("the backlog fits the budget without merging: the test has no effect")
	}
	if samples != float64(h.requests["lookup"]) || f.Duplicated > 0 {
		t.Errorf("got %v samples, %d duplicate lines, want %d samples, no duplicate lines",
			samples, f.Duplicated, h.requests["lookup"])
	}
}

// A collector accepts connections but never reads. Each connection is closed after the write timeout, and memory stays
// within the budget.
func TestMemoryIsBoundedWhileACollectorReadsNothing(t *testing.T) {
	c, received, g := startCarbon(t, false)
	g.BudgetKB = 64
	c.SetMode(collector.Silent)
	h := startHarness(t, telemetryFile(g))
	for range 100 {
		h.intervals(1)
		if held := h.held("carbon"); held > 64<<10 {
			t.Fatalf("%d bytes are held, budget is %d", held, 64<<10)
		}
	}
	c.SetMode(collector.Serve)
	h.intervals(2)
	await(t, received, "the newest interval", func(f *collector.Findings) bool {
		return len(f.Incarnations) == 1 && f.Incarnations[0].LastSequence == 102
	})
	h.finish()
	h.awaitAllCounted(received)
}

// Connections are reset repeatedly in the middle of lines. The collector must receive each line completely and once.
func TestConnectionResetsDuplicateNoLine(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		t.Run(fmt.Sprintf("pickle %v", pickle), func(t *testing.T) {
			c, received, g := startCarbon(t, pickle)
			h := startHarness(t, telemetryFile(g))
			c.SetMode(collector.Truncating)
			h.intervals(40)
			c.SetMode(collector.Serve)
			h.intervals(2)
			h.finish()
			if f := h.awaitAllCounted(received); f.Duplicated > 0 {
				t.Fatalf("%d lines were received twice", f.Duplicated)
			}
		})
	}
}

func TestBacklogOfASlowCollectorIsDelivered(t *testing.T) {
	c, received, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(g))
	c.SetMode(collector.Slow)
	h.intervals(20)
	c.SetMode(collector.Serve)
	h.intervals(2)
	await(t, received, "the backlog", completeTo(22))
	h.finish()
	h.awaitAllCounted(received)
}

// One of two destinations does not read. The other must receive all intervals, none of them merged.
func TestDestinationsAreIndependent(t *testing.T) {
	c, _, unread := startCarbon(t, false)
	c.SetMode(collector.Silent)
	unread.Name = "unread"
	_, received, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(unread, g))
	h.intervals(40)
	await(t, received, "all intervals", completeTo(40))
	h.finish()
	h.awaitAllCounted(received)
	f := await(t, received, "the last interval", complete)
	if len(f.Incarnations[0].Intervals) != int(f.Incarnations[0].LastSequence) {
		t.Fatalf("got %d unmerged intervals, want %d", len(f.Incarnations[0].Intervals), f.Incarnations[0].LastSequence)
	}
}

// When the broker stops, the last interval is delivered, or counted as lost if the collector does not read it within
// the stop timeout.
func TestLastIntervalIsDeliveredOrCountedLost(t *testing.T) {
	c, received, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(g))
	h.intervals(3)
	close(h.draining)
	h.load("lookup", 5)
	h.finish()
	h.awaitAllCounted(received)
	await(t, received, "all intervals", complete)

	c.SetMode(collector.Silent)
	h = startHarnessAt(t, telemetryFile(g), testStartTime, stopTimeout)
	h.intervals(200) // more than the socket buffers hold
	h.finish()
	stats := h.reporter.destinations["carbon"].stats.Load()
	ended := stats.DeliveredIntervals + stats.LostIntervals
	if stats.WaitingIntervals != 0 || ended != h.intervalCount() || stats.LostIntervals == 0 {
		t.Fatalf("want all %d intervals delivered or lost, and some lost: %+v", h.intervalCount(), stats)
	}
}

// A restarted broker counts from zero under a new start time, so that a collector can distinguish the restart from a
// counter that decreased.
func TestRestartIsANewIncarnation(t *testing.T) {
	_, received, g := startCarbon(t, false)
	first := startHarness(t, telemetryFile(g))
	first.intervals(5)
	first.finish()
	second := startHarnessAt(t, telemetryFile(g), first.wall.read()+time.Minute, testTimeout)
	second.intervals(3)
	second.finish()
	f := await(t, received, "the intervals of both incarnations", func(f *collector.Findings) bool {
		all := f.Incarnations
		return len(all) == 2 &&
			all[0].LastSequence == first.intervalCount() && all[1].LastSequence == second.intervalCount()
	})
	if !f.OK() {
		t.Fatalf("collector found violations: %+v", f)
	}
	for i, h := range []*harness{first, second} {
		if got := f.Incarnations[i].Total(metrics.Requests); got != float64(h.requests["lookup"]) {
			t.Errorf("incarnation %d: got %v requests, want %d", i, got, h.requests["lookup"])
		}
	}
}
