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
		Name: "lookup", Work: 100 * time.Millisecond, Threads: 1, Rows: 3, BlockedByDataSetLock: true,
	}
	loadClass = &Class{
		Name: "load", Work: 500 * time.Millisecond, Threads: 2, Rows: 1, HoldsDataSetLock: true,
	}
	modelConfig = Config{Cores: 4, SaturationPoint: 2, Sessions: 16, DedupWindow: 15 * time.Second}
)

// runToCompletion runs a model until nothing is in flight and returns when each query ended.
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
	t.Fatal("the model does not finish")
	return nil
}

func TestSingleQueryTakesItsOwnWork(t *testing.T) {
	m := NewModel(modelConfig, 0)
	m.Submit(0, Job{RequestID: "a", Class: lookupClass})
	want := lookupClass.Cost("a")
	if got := runToCompletion(t, m)["a"]; got < want || got > want+time.Microsecond {
		t.Fatalf("%v, want %v", got, want)
	}
}

// makespan is how long n lookups take that are submitted together. It is never less than the cores allow.
func makespan(t *testing.T, n int, slowdown float64) time.Duration {
	t.Helper()
	m := NewModel(modelConfig, 0)
	m.Slow(0, slowdown)
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
		t.Fatalf("%d queries of %v in all took %v", n, work, last)
	}
	return last
}

// Up to its saturation point an engine does as much as its cores can, beyond it less. A slowdown applies to
// all.
func TestQueriesShareCores(t *testing.T) {
	if eight, sixteen := makespan(t, 8, 1), makespan(t, 16, 1); sixteen < 2*eight {
		t.Errorf("twice the queries took %v and %v: nothing is lost beyond saturation", eight, sixteen)
	}
	const tolerance = time.Millisecond
	normal, slow := makespan(t, 4, 1), makespan(t, 4, 3)
	if slow < 3*normal-tolerance || slow > 3*normal+tolerance {
		t.Errorf("three times as slow: %v and %v", normal, slow)
	}
}

func TestLoadLocksItsDataSet(t *testing.T) {
	m := NewModel(modelConfig, 0)
	m.Submit(0, Job{RequestID: "first", Class: loadClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "second", Class: loadClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "waits", Class: lookupClass, DataSet: 1})
	m.Submit(0, Job{RequestID: "other", Class: lookupClass, DataSet: 2})
	endedAt := runToCompletion(t, m)
	if endedAt["waits"] < endedAt["second"] || endedAt["second"] < endedAt["first"]+loadClass.Cost("second")/2 {
		t.Errorf("queries of one data set ran together: %v", endedAt)
	}
	if endedAt["other"] > lookupClass.Cost("other")+time.Millisecond {
		t.Errorf("another data set waited: %v", endedAt)
	}
}

func TestAdmission(t *testing.T) {
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
		{"a duplicate while it runs", keyed("b"), time.Second, Duplicate},
		{"a duplicate after it ran", keyed("c"), 14 * time.Second, Duplicate},
		{"after the window", keyed("d"), 16 * time.Second, Admitted},
		{"the id of a running query", Job{RequestID: "d", Class: lookupClass}, 16 * time.Second, AtCapacity},
	} {
		if got := m.Submit(c.at, c.job); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A cancelled query was not executed, so its idempotency key is free again.
func TestCancelFreesTheIdempotencyKey(t *testing.T) {
	m := NewModel(modelConfig, 0)
	const at = 17 * time.Second
	m.Submit(at, Job{RequestID: "e", Class: loadClass, IdempotencyKey: "cut"})
	if !m.Cancel(at, "e") {
		t.Error("it is not there to cancel")
	}
	if got := m.Submit(at, Job{RequestID: "f", Class: loadClass, IdempotencyKey: "cut"}); got != Admitted {
		t.Errorf("a retry of what was cancelled: %v", got)
	}
}

func TestAdmissionAtCapacity(t *testing.T) {
	m := NewModel(modelConfig, 0)
	for i := range modelConfig.Sessions {
		m.Submit(0, Job{RequestID: fmt.Sprint(i), Class: loadClass})
	}
	if got := m.Submit(0, Job{RequestID: "more", Class: lookupClass}); got != AtCapacity {
		t.Errorf("beyond the limit of queries: %v", got)
	}
}

func TestSlowStart(t *testing.T) {
	cfg := modelConfig
	cfg.SlowStartDuration, cfg.SlowStartInitial = 10*time.Second, 0.25
	m := NewModel(cfg, 0)
	m.Submit(0, Job{RequestID: "a", Class: loadClass})
	first := runToCompletion(t, m)["a"]
	const later = 20 * time.Second
	m.Advance(later)
	m.Submit(later, Job{RequestID: "a", Class: loadClass})
	if second := runToCompletion(t, m)["a"] - later; first < 2*second {
		t.Fatalf("%v in slow start, %v after it", first, second)
	}
}

// However time is cut into steps, each query ends once, and work is neither made nor lost.
func TestAdvanceIsIndependentOfStepSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 12).Draw(t, "gaps")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 40).Draw(t, "cuts")
		oneStep, manySteps := completionOrder(gaps, nil), completionOrder(gaps, cuts)
		if len(oneStep) != len(gaps) {
			t.Fatalf("%d queries, %d ends", len(gaps), len(oneStep))
		}
		if diff := cmp.Diff(oneStep, manySteps); diff != "" {
			t.Fatal(diff)
		}
	})
}

// completionOrder submits a query after each gap, every third one a load, and returns their ids in the
// order in which they ended. Time advances in the steps of cuts, over and over, or in one step a gap if
// there are none; both in ms.
func completionOrder(gaps, cuts []int) (order []string) {
	m := NewModel(modelConfig, 0)
	advance := func(to time.Duration) {
		for _, c := range m.Advance(to) {
			order = append(order, c.RequestID)
		}
	}
	now, step := time.Duration(0), 0
	for i, gap := range gaps {
		until := now + time.Duration(gap)*time.Millisecond
		for len(cuts) > 0 && now < until {
			now = min(until, now+time.Duration(cuts[step%len(cuts)])*time.Millisecond)
			step++
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
