package overdue

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

const ms = time.Millisecond

func TestLateQuantileFollowsTheOddsOfALoss(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ lossRate, want units.Fraction }{
		{0, minLateQuantile},
		{0.01, 0.01 / 0.99},
		{0.5, maxLateQuantile},
		{1, maxLateQuantile},
	} {
		if got := LateQuantile(c.lossRate); math.Abs(float64(got-c.want)) > 1e-12 {
			t.Errorf("loss rate %v: got %v, want %v", c.lossRate, got, c.want)
		}
	}
}

func TestHalfOpenTimeoutLeavesTimeForARetry(t *testing.T) {
	t.Parallel()
	if got := HalfOpenTimeout(time.Second, 2*time.Second+1); got != time.Second {
		t.Errorf("got %v with time for a retry, want 1s", got)
	}
	if got := HalfOpenTimeout(time.Second, 2*time.Second); got != 0 {
		t.Errorf("got %v without time for a retry, want none", got)
	}
}

func TestLossConfidence(t *testing.T) {
	t.Parallel()
	if got := LossConfidence(minLateQuantile / 3); math.Abs(float64(got-0.25)) > 1e-12 {
		t.Errorf("got %v where three are late for one that is lost, want a quarter", got)
	}
	if got := LossConfidence(0.5); got < 0.9 {
		t.Errorf("got %v where half of all answers are lost", got)
	}
}

func TestIsRunaway(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		spent    units.Seconds
		progress units.Fraction
		want     bool
	}{
		"half done":              {2, 0.5, false},
		"a fifth done":           {1, 0.2, false},
		"less than a fifth done": {1, 0.19, true},
		"no progress yet":        {0.015, 0, false},
		"no progress for a time": {0.03, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := IsRunaway(c.spent, c.progress, 1); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestJudge(t *testing.T) {
	t.Parallel()
	lock := &Lock{Objective: 2 * time.Second, LongestHold: time.Second, EngineResponds: true}
	silentEngine := *lock
	silentEngine.EngineResponds = false
	for name, c := range map[string]struct {
		attempt Attempt
		verdict Status
		again   time.Duration
	}{
		"in time":            {Attempt{Silence: 700 * ms, Timeout: time.Second}, Pending, 300 * ms},
		"lost":               {Attempt{Silence: time.Second, Timeout: time.Second}, Lost, 0},
		"not lost so soon":   {Attempt{Silence: 500 * ms, Timeout: 400 * ms}, Pending, 100 * ms},
		"sooner with losses": {Attempt{Silence: 500 * ms, Timeout: 400 * ms, LossRate: 0.1}, Lost, 0},
		"in an overload": {
			Attempt{Silence: time.Second, Timeout: time.Second, FleetLossRate: 0.4}, Overload, 0,
		},
		"without the progress that was due": {
			Attempt{Silence: 1750 * ms, Timeout: time.Minute, ProgressInterval: time.Second}, Lost, 0,
		},
		"with progress not due yet": {
			Attempt{Silence: 1700 * ms, Timeout: time.Minute, ProgressInterval: time.Second}, Pending, 50 * ms,
		},
		"not blocked so soon": {Attempt{Silence: 400 * ms, Timeout: 300 * ms, Lock: lock}, Pending, 100 * ms},
		"blocked":             {Attempt{Silence: 500 * ms, Timeout: 300 * ms, Lock: lock}, Blocked, 0},
		"lost with its engine": {
			Attempt{Silence: 500 * ms, Timeout: 300 * ms, Lock: &silentEngine}, Lost, 0,
		},
		"blocked, for the time of a lock": {
			Attempt{Silence: time.Second, Timeout: 300 * ms, ThreadsReleased: true, Lock: lock}, Pending, 300 * ms,
		},
		"blocked for longer": {
			Attempt{Silence: 1300 * ms, Timeout: 300 * ms, ThreadsReleased: true, Lock: lock}, Lost, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			verdict, again := Evaluate(c.attempt)
			if verdict != c.verdict || again != c.again {
				t.Errorf("verdict %d, again in %v; want %d, %v", verdict, again, c.verdict, c.again)
			}
		})
	}
}
