package metrics

import (
	"fmt"
	"testing"
	"time"
)

// Timestamps stay unique when the wall clock is set, unless it is set back by more than the maximum lead.
func TestIntervalTimestampsAreUniqueAndFollowTheWallClock(t *testing.T) {
	r := NewRegistry(smallLimits(), 0, 0)
	s := time.Second
	wall := []time.Duration{
		100 * s, 100*s + 400*time.Millisecond, 101 * s, 110 * s, 3600 * s, 10 * s, 11 * s, 90000 * s,
	}
	want := []time.Duration{100 * s, 101 * s, 102 * s, 110 * s, 3600 * s, 10 * s, 11 * s, 90000 * s}
	for i := range wall {
		if got := r.EndInterval(wall[i], 0).EndTime; got != want[i] {
			t.Errorf("interval ended at wall clock %v: got timestamp %v, want %v", wall[i], got, want[i])
		}
	}
}

// The share covers only the requests that ended in the interval, without those whose client disconnected. An interval
// in which no request ended does not report the share.
func TestInTimeShareOfRequestsEndedInTheInterval(t *testing.T) {
	r := NewRegistry(smallLimits(), 0, 0)
	add := func(outcome int, n float64) { r.Add(RequestOutcomes, r.Slot(Class, "lookup"), outcome, n) }
	share := func() float64 { return r.EndInterval(0, 0).Value(Series{ID: InTimeShare, Name: "lookup"}) }
	add(InTime, 6)
	add(Late, 2)
	add(Rejected, 1)
	add(Failed, 1)
	add(Abandoned, 90)
	if got := share(); got != 0.6 {
		t.Errorf("in-time share with 6 of 10 requests in time: got %v, want 0.6", got)
	}
	add(InTime, 1)
	if got := share(); got != 1 { // counts this interval only
		t.Errorf("in-time share of the second interval: got %v, want 1", got)
	}
	if got := share(); got != 0 { // no request ended: not reported
		t.Errorf("in-time share of an interval without ended requests: got %v, want none", got)
	}
}

func BenchmarkEndInterval(b *testing.B) {
	r := NewRegistry(Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, IdleTimeout: time.Hour}, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range 32 {
			name := fmt.Sprint(i)
			r.Add(RequestsByTenant, r.Slot(Tenant, name), 0, 1)
			for v := range 20 {
				r.Observe(EngineTime, r.Slot(Engine, name), float64(v*10))
				r.Observe(QueueWaitByTenant, r.Slot(Tenant, name), float64(v))
				r.Observe(AnswerTime, r.Slot(Class, name[:1]), float64(v*20))
			}
		}
		r.EndInterval(0, 0)
	}
}
