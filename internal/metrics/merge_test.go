package metrics

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recording holds the totals of randomly recorded values and the intervals that report them.
type recording struct {
	registry  *Registry
	now       time.Duration
	requests  float64
	samples   float64
	intervals []*Interval
}

// drawRecording records requests of random tenants over a random number of intervals.
func drawRecording(t *rapid.T) *recording {
	r := &recording{registry: NewRegistry(smallLimits(), 0, 0)}
	for range rapid.IntRange(1, 12).Draw(t, "intervals") {
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			slot := r.registry.Slot(Tenant, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "tenant")))
			r.registry.Add(RequestsByTenant, slot, 0, 1)
			r.registry.Observe(QueueWaitByTenant, slot, rapid.Float64Range(0, 1e4).Draw(t, "wait"))
			r.requests++
			r.samples++
		}
		r.now += rapid.SampledFrom([]time.Duration{10 * time.Second, 2 * time.Minute}).Draw(t, "length")
		r.intervals = append(r.intervals, r.registry.EndInterval(r.now, r.now))
	}
	return r
}

// mergeSome merges random pairs of consecutive intervals.
func (r *recording) mergeSome(t *rapid.T) {
	for len(r.intervals) > 1 && rapid.IntRange(0, 4).Draw(t, "merge") > 0 {
		i := rapid.IntRange(0, len(r.intervals)-2).Draw(t, "at")
		v, err := Merge(r.intervals[i], r.intervals[i+1])
		if err != nil {
			t.Fatal(err)
		}
		r.intervals = slices.Replace(r.intervals, i, i+2, v)
	}
}

// checkInterval checks that an interval is consistent, and that no counter decreased since the last interval.
func checkInterval(t *rapid.T, v *Interval, last map[Series]float64) {
	if !slices.IsSortedFunc(v.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) }) {
		t.Fatal("points are not sorted by series")
	}
	if got := v.Value(Series{ID: MergedIntervals}); got != float64(v.MergedCount) {
		t.Fatalf("interval merged from %d reports %v", v.MergedCount, got)
	}
	for _, p := range v.Points {
		if Catalogue[p.ID].Kind != Counter {
			continue
		}
		if p.Value < last[p.Series] {
			t.Fatalf("counter %s of %q decreased from %v to %v", Catalogue[p.ID].Name, p.Name, last[p.Series], p.Value)
		}
		last[p.Series] = p.Value
	}
	for _, d := range v.Distributions {
		if s, err := Summarize(d.EncodedSketch); err != nil || s.Count != d.Count {
			t.Fatalf("sketch of %v values: summary counts %v, error %v", d.Count, s.Count, err)
		}
	}
}

// Counters and distributions sum to the recorded totals, without loss or double counting, for any sequence of names and
// any merging of intervals.
func TestMergeKeepsAllCountsAndSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecording(t)
		r.mergeSome(t)
		last, merged, samples, duration := map[Series]float64{}, uint64(0), 0.0, time.Duration(0)
		for _, v := range r.intervals {
			checkInterval(t, v, last)
			merged, samples, duration = merged+v.MergedCount, samples+v.SampleCount(), duration+v.Duration
		}
		requests := 0.0
		for s, v := range last {
			if s.ID == RequestsByTenant {
				requests += v
			}
		}
		if requests != r.requests || samples != r.samples {
			t.Fatalf("got %v requests, %v samples, want %v requests, %v samples", requests, samples, r.requests, r.samples)
		}
		if merged != r.registry.sequence || duration != r.now {
			t.Fatalf("got %d intervals of %v, want %d intervals of %v", merged, duration, r.registry.sequence, r.now)
		}
	})
}

// An engine is removed and its name retires while intervals wait for delivery. Merging must keep the engine's counts
// and samples, but not its gauges, as the merged interval ends after the engine was removed.
func TestMergeKeepsCountsOfARetiredName(t *testing.T) {
	r := NewRegistry(smallLimits(), 0, 0)
	count := func(name string, n float64) {
		slot := r.Slot(Engine, name)
		r.Add(AttemptEnds, slot, 0, n)
		r.Observe(EngineTime, slot, 10)
		r.Set(ConcurrencyLimit, slot, 0, 4)
	}
	count("remaining", 3)
	count("removed", 5)
	before := r.EndInterval(10*time.Second, 10*time.Second)
	for i := range 10 { // longer than the idle timeout
		count("remaining", 1)
		at := time.Duration(20+10*i) * time.Second
		r.EndInterval(at, at)
	}
	count("remaining", 1)
	after := r.EndInterval(200*time.Second, 200*time.Second)
	v, err := Merge(before, after)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		series Series
		want   float64
	}{
		{Series{ID: AttemptEnds, Name: "removed"}, 5},
		{Series{ID: AttemptEnds, Name: "remaining"}, 14},
		{Series{ID: ConcurrencyLimit, Name: "removed"}, 0},
		{Series{ID: ConcurrencyLimit, Name: "remaining"}, 4},
	} {
		if got := v.Value(tt.series); got != tt.want {
			t.Errorf("%s of %s: got %v, want %v", Catalogue[tt.series.ID].Name, tt.series.Name, got, tt.want)
		}
	}
	if after.Value(Series{ID: AttemptEnds, Name: "removed"}) != 0 || v.SampleCount() != 3 {
		t.Errorf("got count %v of the retired name, %v samples of the merged interval, want 0 and 3",
			after.Value(Series{ID: AttemptEnds, Name: "removed"}), v.SampleCount())
	}
}

func BenchmarkMerge(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, IdleTimeout: time.Hour}, 0, 0)
	recordInterval := func() *Interval {
		for i := range 32 {
			for v := range 50 {
				r.Observe(EngineTime, r.Slot(Engine, fmt.Sprint(i)), float64(v*v))
				r.Observe(QueueWaitByTenant, r.Slot(Tenant, fmt.Sprint(i)), float64(v))
			}
		}
		return r.EndInterval(0, 0)
	}
	earlier, later := recordInterval(), recordInterval()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Merge(earlier, later); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(earlier.MemoryBytes()), "bytes/interval")
}
