package concurrency

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

const (
	testCores = 8
	testShare = 0.5
)

// newLimiter returns a limiter of 6 threads: half of 8 cores at 1.5 threads each.
func newLimiter() Limiter { return New(DefaultConfig(), testCores, testShare) }

func TestAllows(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                 string
		threadsInFlight      int
		classThreadsInFlight int
		request              Request
		want                 bool
	}{
		{"any size while nothing is in flight", 0, 0, Request{Threads: 20, UnderPressure: true}, true},
		{"exactly at the limit", 4, 4, Request{Threads: 2, UnderPressure: true}, true},
		{"over the limit", 5, 4, Request{Threads: 2, UnderPressure: true}, false},
		{"exactly at the larger limit without pressure", 7, 7, Request{Threads: 2}, true},
		{"over the larger limit without pressure", 8, 8, Request{Threads: 2}, false},
		{"two requests of the widest class without pressure", 9, 9, Request{Threads: 9, WidestThreads: 9}, true},
		{
			"class within its own share", 12, 2,
			Request{Threads: 1, ClassShare: 0.5, UnderPressure: true},
			true,
		},
		{
			"class beyond its own share", 12, 3,
			Request{Threads: 1, ClassShare: 0.5, UnderPressure: true},
			false,
		},
		{
			"first request of a class over its share", 12, 0,
			Request{Threads: 4, ClassShare: 0.1, UnderPressure: true},
			true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := newLimiter()
			l.Acquire(c.threadsInFlight)
			if got := l.Allows(c.request, func() int { return c.classThreadsInFlight }); got != c.want {
				t.Errorf("got %v, want %v, at a limit of %v", got, c.want, l.Limit())
			}
		})
	}
}

func TestUnderPressure(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		signals Signals
		want    bool
	}{
		{"no signal", Signals{LoadKnown: true, SlowdownKnown: true}, false},
		{"at capacity", Signals{AtCapacity: true}, true},
		{"age ratio over its threshold", Signals{AgeRatio: 3.1}, true},
		{"age ratio at its threshold", Signals{AgeRatio: 3}, false},
		{"load over its threshold", Signals{LoadKnown: true, Load: 0.91}, true},
		{"outdated load", Signals{Load: 5}, false},
		{"slowdown over its threshold", Signals{SlowdownKnown: true, Slowdown: 0.46}, true},
		{"slowdown based on few answers", Signals{Slowdown: 3}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			config := DefaultPressureConfig()
			if got := config.UnderPressure(c.signals); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// idleInterval returns an interval without answers, pressure or a shortage of memory.
func idleInterval() Interval {
	return Interval{
		Regular: true, Objective: time.Second, Wait: 0.2,
		Cores: testCores, MemoryMB: math.Inf(1), BrokerShare: testShare,
		RequestThreads: 1, RequestMemoryMB: 100, MinLimit: 1,
	}
}

func TestLimitIsBoundedByMemoryAndMinLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func(*Interval)
		want   float64
	}{
		{"no bound applies", func(*Interval) {}, 6},
		{"memory for four threads", func(in *Interval) { in.MemoryMB = 800 }, 4},
		{"minimum limit", func(in *Interval) { in.MinLimit = 9 }, 9},
		{"minimum limit over memory", func(in *Interval) { in.MemoryMB, in.MinLimit = 800, 5 }, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, in := newLimiter(), idleInterval()
			c.change(&in)
			l.CloseInterval(in)
			if got := l.Limit(); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

func TestLimitBacksOffUnderOverloadAndRecovers(t *testing.T) {
	t.Parallel()
	l := newLimiter()
	overload := idleInterval()
	overload.UnderPressure, overload.Load, overload.MinLimit = true, 1.3, 0
	l.CloseInterval(overload)
	if got := l.Limit(); math.Abs(got-0.8*6) > 1e-9 {
		t.Errorf("limit %v after an interval of overload, want %v", got, 0.8*6)
	}
	for range 100 {
		l.CloseInterval(overload)
	}
	if got := l.Limit(); math.Abs(got-0.15*6) > 1e-9 {
		t.Errorf("limit %v after long overload, want %v", got, 0.15*6)
	}
	for range 100 {
		l.CloseInterval(idleInterval())
	}
	if got := l.Limit(); math.Abs(got-6) > 1e-9 {
		t.Errorf("limit %v after the overload, want 6", got)
	}
	loaded := idleInterval()
	loaded.Load, loaded.Slowdown = 1.3, 2 // without pressure
	l.CloseInterval(loaded)
	if got := l.Limit(); math.Abs(got-6) > 1e-9 {
		t.Errorf("limit %v under load without pressure, want 6", got)
	}
}

func TestPoolBacksOffAtSmallerSlowdown(t *testing.T) {
	t.Parallel()
	slowed := idleInterval()
	slowed.UnderPressure, slowed.Slowdown = true, 1
	one, pool := newLimiter(), New(PoolConfig(), testCores, testShare)
	one.CloseInterval(slowed)
	pool.CloseInterval(slowed)
	if one.Limit() != 6 || pool.Limit() >= 6 {
		t.Errorf("limits of engine %v and pool %v, want 6 and less than 6", one.Limit(), pool.Limit())
	}
}

func TestTargetTimeSubtractsWait(t *testing.T) {
	t.Parallel()
	l := newLimiter()
	for wait, want := range map[units.Seconds]float64{0: 1, 0.5: 0.75, 1: 0.5, 9: 0.5} {
		if got := l.targetTime(wait, 2*time.Second); got != want {
			t.Errorf("target %v for a wait of %v s, want %v", got, float64(wait), want)
		}
	}
}

func TestLimitFollowsServiceTimes(t *testing.T) {
	t.Parallel()
	final := func(relativeTime float64) float64 {
		l := newLimiter()
		for range 50 {
			l.RecordAnswer(relativeTime)
			l.CloseInterval(idleInterval())
		}
		return l.Limit()
	}
	fast, slow := final(0.2), final(2)
	lowest, highest := testCores*testShare*1.0, testCores*testShare*1.7
	if slow < lowest || fast > highest {
		t.Errorf("limits %v for slow and %v for fast answers, want both in [%v, %v]", slow, fast, lowest, highest)
	}
	if slow >= fast {
		t.Errorf("limit %v for slow answers, want less than %v, the limit for fast ones", slow, fast)
	}
}
