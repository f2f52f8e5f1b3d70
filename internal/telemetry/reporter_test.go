package telemetry

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/collectd"
	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/server/netconn"
)

func TestIntervalsAreDelivered(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		t.Run(fmt.Sprintf("pickle %v", pickle), func(t *testing.T) {
			_, received, g := startCarbon(t, pickle)
			h := startHarness(t, telemetryFile(g))
			h.intervals(5)
			h.finish()
			h.awaitAllCounted(received)
			// The newest interval is delivered first, and the distributions of an interval last. So all
			// counters may have arrived before the distributions of the interval before the last.
			want := []string{"count", "max", "min", "p50", "p95", "p99", "sum"}
			f := await(t, received, "all intervals with their distributions", func(f *collector.Findings) bool {
				return complete(f) && len(lastUnderLoad(f)) >= len(want)
			})
			if f.Duplicated > 0 || len(f.Incarnations[0].Intervals) < 5 {
				t.Fatalf("got %+v, want at least 5 intervals without duplicates", f)
			}
			if diff := cmp.Diff(want, lastUnderLoad(f)); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// lastUnderLoad returns the sorted statistics of the answer-time distribution in the interval before the last, which is
// the last one with requests.
func lastUnderLoad(f *collector.Findings) []string {
	intervals := f.Incarnations[0].Intervals
	if len(intervals) < 2 {
		return nil
	}
	series := metrics.Series{ID: metrics.AnswerTime, Name: "lookup"}
	return sortedKeys(intervals[len(intervals)-2].Distributions[series])
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// The wall clock is set back by an hour and forward by a day. Intervals keep their length and none is lost.
func TestWallClockStepsLoseNoInterval(t *testing.T) {
	_, received, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(g))
	h.intervals(5)
	h.wall.step(-time.Hour - 5*time.Second) // between existing timestamps
	h.intervals(5)
	h.wall.step(25 * time.Hour)
	h.intervals(5)
	await(t, received, "all intervals", completeTo(15))
	h.finish()
	h.awaitAllCounted(received)
	if f := await(t, received, "all intervals", complete); f.Incarnations[0].LastSequence != 16 {
		t.Fatalf("got %+v, want 16 intervals", f.Incarnations[0])
	}
}

// Datagrams are lost and reordered, and the collector is unreachable for some time. The counters must still be complete
// afterwards.
func TestCollectdCountersSurviveLossAndReordering(t *testing.T) {
	received := collector.NewReconciler(nil)
	passwords := func(user string) (string, bool) { return "secret", user == "chart" }
	reader := collectd.Reader{MinLevel: collectd.Encrypt, Passwords: passwords}
	c, err := collector.NewCollectd("127.0.0.1:0", reader, 1, received)
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, c.Run)
	h := startHarness(t, telemetryFile(operatorconfig.Collectd{
		Name: "c", Address: c.Addr(), Security: "encrypt", User: "chart", Password: "secret",
	}))
	h.intervals(3)
	intervalsUntil := func(failure string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); runtime.Gosched() {
			h.intervals(1)
			if time.Now().After(end) {
				t.Fatal(failure)
			}
		}
	}
	c.SetMode(collector.Lossy)
	intervalsUntil("no datagram is lost", func() bool { _, lost := c.DatagramCounts(); return lost > 5 })
	c.SetMode(collector.Reordering)
	before, _ := c.DatagramCounts()
	intervalsUntil("no datagram is received", func() bool { now, _ := c.DatagramCounts(); return now > before+20 })
	c.SetMode(collector.Unreachable)
	intervalsUntil("timeout waiting for the closed port to be detected", func() bool {
		return h.reporter.destinations["c"].stats.Load().ConnectionFailures > 0
	})
	h.intervals(10)
	c.SetMode(collector.Serve)
	h.intervals(1)
	last := h.intervalCount()
	await(t, received, "an interval after the outage", func(f *collector.Findings) bool {
		return len(f.Incarnations) == 1 && f.Incarnations[0].LastSequence == last
	})
	h.finish()
	h.awaitAllCounted(received)
}

// A burst of 100,000 names creates no more series than the limit, needs less than 4 MB, and each request is counted.
func TestBurstOfNamesIsBounded(t *testing.T) {
	_, received, g := startCarbon(t, false)
	h := startHarness(t, telemetryFile(g))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 100_000 {
		tenant := fmt.Sprintf("tenant;%d.x", i)
		h.record(&broker.Request{Class: "lookup", Tenant: tenant, DataSet: i},
			&broker.RequestSummary{Class: "lookup", Tenant: tenant, Kind: broker.ReplyRejected})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("heap grew by %d bytes, limit is %d", grown, 4<<20)
	}
	h.intervals(2)
	h.finish()
	f := h.awaitAllCounted(received)
	for _, v := range f.Incarnations[0].Intervals {
		tenants := map[string]bool{}
		for s := range v.Values {
			if s.ID == metrics.RequestsByTenant && !s.Other {
				tenants[s.Name] = true
			}
		}
		if len(tenants) > 8 {
			t.Fatalf("%d tenants have series, limit is 8", len(tenants))
		}
	}
}

// The label values of the catalogue match the reducer's causes.
func TestRequestEndCauseNamesMatchTheReducer(t *testing.T) {
	if diff := cmp.Diff(metrics.RequestEndCauseNames, broker.EndCauseNames[:]); diff != "" {
		t.Error(diff)
	}
}

// The label values of the catalogue match the reason codes of the log.
func TestEndReasonsMatchTheLog(t *testing.T) {
	got := make([]string, 0, len(netconn.Reasons))
	for _, reason := range netconn.Reasons {
		got = append(got, string(reason))
	}
	if diff := cmp.Diff(metrics.EndReasons, got); diff != "" {
		t.Fatal(diff)
	}
}
