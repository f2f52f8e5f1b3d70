package loadreport

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

func near(a, b units.Fraction) bool { return math.Abs(float64(a-b)) < 1e-9 }

func TestLoadIsThatOfScarcestResource(t *testing.T) {
	t.Parallel()
	demand, capacity := Demand{Threads: 2, MemoryMB: 100}, Capacity{Threads: 16, MemoryMB: 1000}
	noMemory, manyThreads := Capacity{Threads: 16, MemoryMB: math.Inf(1)}, Capacity{Threads: 32, MemoryMB: 1000}
	for name, c := range map[string]struct {
		report   Report
		capacity Capacity
		want     units.Fraction
	}{
		"idle":            {Report{Reported: true}, capacity, 0},
		"utilization":     {Report{Reported: true, Utilization: 0.9, RequestsInFlight: 1}, capacity, 0.9},
		"memory":          {Report{Reported: true, Utilization: 0.1, RequestsInFlight: 8}, manyThreads, 0.8},
		"threads":         {Report{Reported: true, RequestsInFlight: 4}, noMemory, 0.5},
		"negative values": {Report{Reported: true, Utilization: -1, RequestsInFlight: -1}, capacity, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := c.report.Load(demand, c.capacity); !near(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestRecentReportsAreAveraged(t *testing.T) {
	t.Parallel()
	var e Estimate
	now := 100 * time.Second
	for _, step := range []struct {
		after time.Duration
		load  units.Fraction
		want  units.Fraction
	}{
		{0, 0.8, 0.8},
		{averagingWindow, 0.4, 0.6},
		{averagingWindow + 1, 0.2, 0.2},
	} {
		now += step.after
		if e.Observe(step.load, now); !near(e.Load(), step.want) {
			t.Errorf("load %v, want %v", e.Load(), step.want)
		}
	}
	if e.RecentLoad(now+recentWindow-1) != e.Load() || e.RecentLoad(now+recentWindow) != 0 {
		t.Errorf("want the load to count as recent for exactly %v", recentWindow)
	}
}

func TestRemoteReportCountsIfYounger(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		load                  units.Fraction
		reportedAt, startedAt time.Duration
		want                  units.Fraction
	}{
		"younger":                   {0.9, 11 * time.Second, 0, 0.9},
		"same age":                  {0.9, 10 * time.Second, 0, 0.4},
		"from the previous process": {0.9, 11 * time.Second, 12 * time.Second, 0.4},
		"negative load":             {-3, 11 * time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var e Estimate
			e.Observe(0.4, 10*time.Second)
			if e.ObserveRemote(c.load, c.reportedAt, c.startedAt); !near(e.Load(), c.want) {
				t.Errorf("load %v, want %v", e.Load(), c.want)
			}
		})
	}
}

func TestOldReportsDecayTowardPoolLoad(t *testing.T) {
	t.Parallel()
	var engine, pool Estimate
	now := 100 * time.Second
	engine.Observe(0.9, now)
	pool.Observe(0.3, now)
	for age, want := range map[time.Duration]units.Fraction{
		0:              0.9,
		Lifetime:       0.3 + 0.6/math.E,
		100 * Lifetime: 0.3,
	} {
		if got := engine.LoadInPool(&pool, now+age); !near(got, want) {
			t.Errorf("load after %v: got %v, want %v", age, got, want)
		}
	}
	if !engine.ReportedWithin(Lifetime, now+Lifetime) || engine.ReportedWithin(Lifetime, now+Lifetime+1) {
		t.Errorf("want the report to be known for exactly %v", Lifetime)
	}
}

func TestPoolLoadIsSelfWeightedMean(t *testing.T) {
	t.Parallel()
	var idle, busy, pool Estimate
	idle.Observe(0.2, 9*time.Second)
	busy.Observe(0.8, 10*time.Second)
	var mean PoolMean
	mean.Add(&idle)
	mean.Add(&busy)
	pool.ObserveMean(mean)
	if want := units.Fraction(0.2*0.2 + 0.8*0.8); !near(pool.Load(), want) || pool.Age(10*time.Second) != 0 {
		t.Errorf("load %v, want %v", pool.Load(), want)
	}
	before := pool
	var withoutLoad PoolMean
	withoutLoad.Add(&Estimate{})
	if pool.ObserveMean(withoutLoad); pool != before {
		t.Errorf("got %+v from engines without load, want %+v unchanged", pool, before)
	}
	if pool.ObservePoolMember(before.load+1, 11*time.Second); !near(pool.load, before.load+poolReportWeight) {
		t.Errorf("load %v after one more report, was %v", pool.load, before.load)
	}
}

func TestProbeIsFreshWithinWindow(t *testing.T) {
	t.Parallel()
	now := 100 * time.Second
	var never, probed, reported Estimate
	probed.RecordProbe(now)
	reported.Observe(0.5, now)
	for name, c := range map[string]struct {
		e             *Estimate
		age           time.Duration
		probed, fresh bool
	}{
		"never probed":  {&never, 0, false, false},
		"probed now":    {&probed, 0, true, true},
		"probed before": {&probed, freshWindow, false, false},
		"reported now":  {&reported, 0, false, true},
	} {
		if got := c.e.RecentlyProbed(now + c.age); got != c.probed {
			t.Errorf("%s: RecentlyProbed is %v", name, got)
		}
		if got := c.e.Fresh(now + c.age); got != c.fresh {
			t.Errorf("%s: Fresh is %v", name, got)
		}
	}
}
