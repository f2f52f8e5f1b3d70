package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var (
	lookupClass = &Class{
		Name: "lookup", MeanWork: 100 * time.Millisecond, Threads: 1, MeanRows: 3, BlockedByDataSetLock: true,
	}
	loadClass = &Class{
		Name: "load", MeanWork: 500 * time.Millisecond, Threads: 2, MeanRows: 1, HoldsDataSetLock: true,
	}
	modelConfig = Config{Cores: 4, SaturationPoint: 2, MaxQueries: 16, DedupWindow: 15 * time.Second}
)

// runToCompletion runs a model until no query is in flight and returns the end of each query.
func runToCompletion(t *testing.T, m *Model) map[string]time.Duration {
	t.Helper()
	endedAt := map[string]time.Duration{}
	for range 10_000 {
		at, ok := m.Next()
		if !ok {
			return endedAt
		}
		for _, c := range m.Advance(at) {
			endedAt[c.RequestID] = at
		}
	}
	t.Fatal("queries still in flight after 10,000 steps")
	return nil
}

func TestSingleQueryRunsForItsCost(t *testing.T) {
	m := NewModel(modelConfig, 0)
	m.Submit(0, Job{RequestID: "a", Class: lookupClass})
	want := lookupClass.Cost("a")
	if got := runToCompletion(t, m)["a"]; got < want || got > want+time.Microsecond {
		t.Fatalf("ended after %v, want %v", got, want)
	}
}

// makespan returns the time that n lookups take that are submitted together. It fails the test if that is less than
// their work allows on all cores.
func makespan(t *testing.T, n int, slowdown float64) time.Duration {
	t.Helper()
	m := NewModel(modelConfig, 0)
	m.SetSlowdown(0, slowdown)
	work := time.Duration(0)
	for i := range n {
		requestID := fmt.Sprint(i)
		m.Submit(0, Job{RequestID: requestID, Class: lookupClass})
		work += lookupClass.Cost(requestID)
	}
	last := time.Duration(0)
	for _, at := range runToCompletion(t, m) {
		last = max(last, at)
	}
	if least := time.Duration(float64(work) / modelConfig.Cores); last < least {
		t.Fatalf("%d queries with %v of work took %v, want at least %v", n, work, last, least)
	}
	return last
}

// An engine uses all its cores up to its saturation point and loses throughput beyond it. A slowdown applies to all
// queries.
func TestThroughputDropsBeyondSaturationAndWithSlowdown(t *testing.T) {
	if eight, sixteen := makespan(t, 8, 1), makespan(t, 16, 1); sixteen < 2*eight {
		t.Errorf("8 queries took %v, 16 took %v, want at least twice as long", eight, sixteen)
	}
	const tolerance = time.Millisecond
	normal, slow := makespan(t, 4, 1), makespan(t, 4, 3)
	if slow < 3*normal-tolerance || slow > 3*normal+tolerance {
		t.Errorf("queries took %v, and %v with a slowdown of 3, want 3 times as long", normal, slow)
	}
}

func TestLoadBlocksQueriesOfItsDataSet(t *testing.T) {
	m := NewModel(modelConfig, 0)
	m.Submit(0, Job{RequestID: "first", Class: loadClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "second", Class: loadClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "blocked", Class: lookupClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "other", Class: lookupClass, DataSet: 2})
	endedAt := runToCompletion(t, m)
	if endedAt["blocked"] < endedAt["second"] || endedAt["second"] < endedAt["first"]+loadClass.Cost("second")/2 {
		t.Errorf("queries of one data set ran concurrently: %v", endedAt)
	}
	if endedAt["other"] > lookupClass.Cost("other")+time.Millisecond {
		t.Errorf("a query of another data set was blocked: %v", endedAt)
	}
}

func TestSubmitDetectsDuplicates(t *testing.T) {
	keyed := func(requestID string) Job {
		return Job{RequestID: requestID, Class: loadClass, IdempotencyKey: "k"}
	}
	m := NewModel(modelConfig, 0)
	m.Submit(0, keyed("a"))
	for _, c := range []struct {
		name string
		job  Job
		at   time.Duration
		want Admission
	}{
		{"same key while the query runs", keyed("b"), time.Second, Duplicate},
		{"same key after the query ended", keyed("c"), 14 * time.Second, Duplicate},
		{"same key after the dedup window", keyed("d"), 16 * time.Second, Admitted},
		{"request id of a running query", Job{RequestID: "d", Class: lookupClass}, 16 * time.Second, AtCapacity},
	} {
		if got := m.Submit(c.at, c.job); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// A cancelled query was not executed, so a retry with its idempotency key must not be a duplicate.
func TestCancelReleasesTheIdempotencyKey(t *testing.T) {
	m := NewModel(modelConfig, 0)
	const at = 17 * time.Second
	m.Submit(at, Job{RequestID: "e", Class: loadClass, IdempotencyKey: "retried"})
	if !m.Cancel(at, "e") {
		t.Error("Cancel reports that the query is not in flight")
	}
	if got := m.Submit(at, Job{RequestID: "f", Class: loadClass, IdempotencyKey: "retried"}); got != Admitted {
		t.Errorf("retry of a cancelled query: got %v, want %v", got, Admitted)
	}
}

func TestSubmitRejectsQueriesAtCapacity(t *testing.T) {
	m := NewModel(modelConfig, 0)
	for i := range modelConfig.MaxQueries {
		m.Submit(0, Job{RequestID: fmt.Sprint(i), Class: loadClass})
	}
	if got := m.Submit(0, Job{RequestID: "more", Class: lookupClass}); got != AtCapacity {
		t.Errorf("query beyond MaxQueries: got %v, want %v", got, AtCapacity)
	}
}

func TestQueriesTakeLongerInSlowStart(t *testing.T) {
	cfg := modelConfig
	cfg.SlowStartDuration, cfg.SlowStartInitial = 10*time.Second, 0.25
	m := NewModel(cfg, 0)
	m.Submit(0, Job{RequestID: "a", Class: loadClass})
	first := runToCompletion(t, m)["a"]
	const later = 20 * time.Second
	m.Advance(later)
	m.Submit(later, Job{RequestID: "a", Class: loadClass})
	if second := runToCompletion(t, m)["a"] - later; first < 2*second {
		t.Fatalf("query took %v in slow start and %v after it, want at least twice as long", first, second)
	}
}

// The steps in which time advances must not change the result: each query ends exactly once, in the same order.
func TestAdvanceIsIndependentOfStepSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 12).Draw(t, "gaps")
		steps := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 40).Draw(t, "steps")
		oneStep, manySteps := completionOrder(gaps, nil), completionOrder(gaps, steps)
		if len(oneStep) != len(gaps) {
			t.Fatalf("%d queries ended, want %d", len(oneStep), len(gaps))
		}
		if diff := cmp.Diff(oneStep, manySteps); diff != "" {
			t.Fatalf("order of ends differs between one step and many (-one +many):\n%s", diff)
		}
	})
}

// completionOrder submits a query after each gap, every third one a load, and returns the request ids in the order of
// their ends. Time advances in the given steps, which repeat, or in one step per gap if there are none. Gaps and steps
// are in milliseconds.
func completionOrder(gaps, steps []int) (order []string) {
	m := NewModel(modelConfig, 0)
	advance := func(to time.Duration) {
		for _, c := range m.Advance(to) {
			order = append(order, c.RequestID)
		}
	}
	now, stepCount := time.Duration(0), 0
	for i, gap := range gaps {
		until := now + time.Duration(gap)*time.Millisecond
		for len(steps) > 0 && now < until {
			now = min(until, now+time.Duration(steps[stepCount%len(steps)])*time.Millisecond)
			stepCount++
			advance(now)
		}
		now = until
		advance(now)
		class := lookupClass
		if i%3 == 0 {
			class = loadClass
		}
		m.Submit(now, Job{RequestID: fmt.Sprint(i), Class: class, DataSet: i % 2})
	}
	advance(now + time.Hour)
	return order
}
