package workload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wheatlane/control/units"
)

func near[F ~float64](t *testing.T, what string, got, want, within F) {
	t.Helper()
	if math.Abs(float64(got-want)) > float64(within) || math.IsNaN(float64(got)) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// quickSettings returns the settings of a class with an initial work of 0.25 thread-seconds.
func quickSettings() ClassSettings {
	return ClassSettings{LatencyObjective: time.Second, Threads: 1, PriorityWeight: 1}
}

func longSettings() ClassSettings {
	return ClassSettings{
		LatencyObjective: 4 * time.Second, Threads: 2, PriorityWeight: 4, HoldsDataSetLock: true,
	}
}

func TestCostConvergesToReports(t *testing.T) {
	t.Parallel()
	cost := NewClassEstimates(longSettings()).Cost
	near(t, "initial work", cost.MeanWork(), 2, 1e-9)
	near(t, "initial work with an estimate", cost.ExpectedWork(time.Second), 1, 1e-9)
	near(t, "initial memory with an estimate", cost.MemoryMB(100), 125, 1e-9)
	answer := Answer{
		ServiceTime: 2, Threads: 2, Work: 3 * time.Second, EstimatedWork: time.Second,
		MemoryMB: 400, EstimatedMemoryMB: 100,
	}
	for range 400 {
		near(t, "slowdown", cost.Observe(answer).Ratio(), 4.0/3, 1e-9)
	}
	near(t, "mean work", cost.MeanWork(), 3, 0.01)
	near(t, "work without an estimate", cost.ExpectedWork(0), cost.MeanWork(), 0)
	near(t, "work with an estimate of a third", cost.ExpectedWork(2*time.Second), 6, 0.01)
	near(t, "memory with an estimate of a quarter", cost.MemoryMB(100), 400, 20)
}

func TestCostWithoutReportsConvergesToServiceTimes(t *testing.T) {
	t.Parallel()
	cost := NewCost(1)
	usual := Answer{ServiceTime: 0.5, Threads: 2}
	for range 400 {
		cost.Observe(usual)
	}
	near(t, "mean work", cost.MeanWork(), 1, 0.01)
	slowed := Answer{ServiceTime: 1, Threads: 2, EngineSlowdown: units.LogRatioOf(2)}
	near(t, "slowdown of an answer after twice the usual time", cost.Observe(slowed).Ratio(), 2, 0.1)
	near(t, "mean work after an answer from a slow engine", cost.MeanWork(), 1, 0.01)
}

func TestServiceTimeQuantileMatchesSamples(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	s := newServiceTime()
	sample := func() units.Seconds { return units.Seconds(2 * math.Exp(0.5*rng.NormFloat64())) }
	for range 5000 {
		s.Observe(sample(), 1)
	}
	near(t, "typical time", s.Typical(1).Seconds(), 2, 0.2)
	later := 0.0
	for range 5000 {
		if sample().Duration() > s.Quantile(1, 0.05) {
			later++
		}
	}
	near(t, "fraction of samples over the quantile", later/5000, 0.05, 0.03)
	if got := MeasuredServiceTime(0); got != minServiceTime {
		t.Errorf("MeasuredServiceTime(0) = %v, want %v", got, minServiceTime)
	}
}

func TestTimeToAbandonIsKnownIfMostClientsDisconnect(t *testing.T) {
	t.Parallel()
	var a Abandonment
	for range 30 {
		a.ClientDisconnected(2 * time.Second)
	}
	if _, ok := a.TimeToAbandon(); ok {
		t.Error("known after 30 clients that disconnected")
	}
	for range 30 {
		a.ClientDisconnected(2 * time.Second)
	}
	wait, ok := a.TimeToAbandon()
	if !ok || wait != 2*time.Second {
		t.Errorf("time to abandon %v, known: %v", wait, ok)
	}
	for range 30 {
		a.ClientWaited()
	}
	if _, ok := a.TimeToAbandon(); ok {
		t.Error("known after 30 clients that waited")
	}
}

func TestWaitIsMovingMean(t *testing.T) {
	t.Parallel()
	var w Wait
	w.Observe(2 * time.Second)
	near(t, "mean after one request", w.Mean(), 0.1, 1e-9)
	for range 200 {
		w.Observe(2 * time.Second)
	}
	near(t, "mean after many requests", w.Mean(), 2, 0.01)
}

func TestRequestsCountForTenantByName(t *testing.T) {
	t.Parallel()
	known := []Tenant{{Name: "large", Share: 0.75}, {Name: "small", Share: 0.25}, {Name: "none"}}
	w := New(DefaultConfig(), known, 1)
	w.SetClasses([]*ClassEstimates{NewClassEstimates(quickSettings())}, nil)
	tenants := w.Tenants()
	for _, name := range []string{"nobody", "", "large"} {
		w.RequestReceived(0, tenants.Index(name))
	}
	for i, want := range []struct {
		arrivals int
		share    units.Fraction
	}{{1, 0.75}, {0, 0.25}, {0, 1e-3}, {2, 1e-3}} {
		if got := tenants.Arrivals(i); got != want.arrivals {
			t.Errorf("tenant %d: %d requests, want %d", i, got, want.arrivals)
		}
		if got := tenants.Share(i); got != want.share {
			t.Errorf("tenant %d: share %v, want %v", i, got, want.share)
		}
	}
	w.CloseInterval(Interval{Elapsed: time.Second})
	if tenants.Len() != 4 || tenants.Arrivals(3) != 0 {
		t.Errorf("%d tenants, %d requests in a new interval", tenants.Len(), tenants.Arrivals(3))
	}
}

func TestTrafficShareFollowsUsedQuotas(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		requests int
		interval Interval
		want     units.Fraction
	}{
		{"first interval at full weight", 50, Interval{}, 0.5},
		{"no traffic", 0, Interval{}, 0.25 / 4},
		{"more than all quotas", 1000, Interval{}, 1},
		{"share held", 50, Interval{HoldShare: true}, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := New(DefaultConfig(), []Tenant{{Share: 1, Quota: 100}}, 4)
			w.SetClasses([]*ClassEstimates{NewClassEstimates(quickSettings())}, nil)
			near(t, "initial share", w.TrafficShare(), 0.25, 1e-12)
			for range c.requests {
				w.RequestReceived(0, 0)
			}
			c.interval.Elapsed = time.Second
			w.CloseInterval(c.interval)
			near(t, "share", w.TrafficShare(), c.want, 1e-12)
		})
	}
}

func TestCloseIntervalReturnsMeasurementsOfEachClass(t *testing.T) {
	t.Parallel()
	w := New(DefaultConfig(), nil, 1)
	quick := NewClassEstimates(quickSettings())
	w.SetClasses([]*ClassEstimates{quick, NewClassEstimates(longSettings())}, nil)
	for range 3 {
		w.RequestReceived(0, 0)
		quick.Traffic.Answered(500 * time.Millisecond)
	}
	got := w.CloseInterval(Interval{Elapsed: time.Second})
	near(t, "arrival rate", got[0].ArrivalRate, 3, 1e-9)
	near(t, "answers", float64(got[0].Answers), 3, 0)
	near(t, "inverse latency", got[0].InverseLatency, 2, 1e-9)
	near(t, "throughput", got[0].Throughput, 0.75, 1e-9)
	near(t, "answers of the other class", float64(got[1].Answers), 0, 0)
	got = w.CloseInterval(Interval{Elapsed: time.Second})
	near(t, "answers in an interval without any", float64(got[0].Answers), 0, 0)
	near(t, "output retained", got[0].InverseLatency, 2, 1e-9)
}

func TestSummary(t *testing.T) {
	t.Parallel()
	w := New(DefaultConfig(), nil, 1)
	quick := NewClassEstimates(quickSettings()) // 0.25 thread-seconds, weight 4 per thread-second
	long := NewClassEstimates(longSettings())   // 2 thread-seconds, weight 2 per thread-second
	w.SetClasses([]*ClassEstimates{quick, long}, nil)
	for range 9 {
		w.RequestReceived(0, 0)
	}
	w.RequestReceived(1, 0)
	w.CloseInterval(Interval{Elapsed: time.Second})
	s := w.Summary()
	near(t, "arrival rate", s.ArrivalRate, 10, 0.02)
	near(t, "mean work", s.MeanWork, 0.425, 0.001)
	near(t, "heaviest work", s.HeaviestWork, 2, 1e-9)
	near(t, "lowest weight", s.LowestWeightPerThreadSecond, 2, 1e-9)
	if s.LongestLock != time.Second || s.HighestValueClass != 0 {
		t.Errorf("longest lock %v, highest value: class %d", s.LongestLock, s.HighestValueClass)
	}
	demand := w.MeanDemand() // in service: 2.25 requests on one thread, 1 on two
	near(t, "threads", demand.Threads, (2.25+2)/3.25, 0.01)
	near(t, "memory", demand.MemoryMB, 0, 0)
	long.Cost = NewCost(0.5)
	w.CloseInterval(Interval{Elapsed: time.Second})
	if got := w.Summary().HighestValueClass; got != 1 {
		t.Errorf("highest value: class %d, want 1", got)
	}
}
