package overdue

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

const ms = time.Millisecond

func TestLateQuantileFollowsLossOdds(t *testing.T) {
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

func TestHalfOpenTimeoutLeavesTimeForRetry(t *testing.T) {
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
		t.Errorf("got %v for three late answers per lost one, want 0.25", got)
	}
	if got := LossConfidence(0.5); got < 0.9 {
		t.Errorf("got %v for half of all answers lost, want at least 0.9", got)
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
		"no progress for longer": {0.03, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := IsRunaway(c.spent, c.progress, 1); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestEvaluate(t *testing.T) {
	t.Parallel()
	lock := &Lock{Objective: 2 * time.Second, LongestHold: time.Second, EngineResponds: true}
	silentEngine := *lock
	silentEngine.EngineResponds = false
	for name, c := range map[string]struct {
		attempt Attempt
		status  Status
		again   time.Duration
	}{
		"pending":                         {Attempt{Silence: 700 * ms, Timeout: time.Second}, Pending, 300 * ms},
		"lost":                            {Attempt{Silence: time.Second, Timeout: time.Second}, Lost, 0},
		"minimum wait before a loss":      {Attempt{Silence: 500 * ms, Timeout: 400 * ms}, Pending, 100 * ms},
		"lost sooner at a high loss rate": {Attempt{Silence: 500 * ms, Timeout: 400 * ms, LossRate: 0.1}, Lost, 0},
		"overload": {
			Attempt{Silence: time.Second, Timeout: time.Second, FleetLossRate: 0.4}, Overload, 0,
		},
		"progress report overdue": {
			Attempt{Silence: 1750 * ms, Timeout: time.Minute, ProgressInterval: time.Second}, Lost, 0,
		},
		"progress report not due yet": {
			Attempt{Silence: 1700 * ms, Timeout: time.Minute, ProgressInterval: time.Second}, Pending, 50 * ms,
		},
		"minimum wait before blocked": {Attempt{Silence: 400 * ms, Timeout: 300 * ms, Lock: lock}, Pending, 100 * ms},
		"blocked":                     {Attempt{Silence: 500 * ms, Timeout: 300 * ms, Lock: lock}, Blocked, 0},
		"lost at a silent engine": {
			Attempt{Silence: 500 * ms, Timeout: 300 * ms, Lock: &silentEngine}, Lost, 0,
		},
		"threads released, within the longest hold": {
			Attempt{Silence: time.Second, Timeout: 300 * ms, ThreadsReleased: true, Lock: lock}, Pending, 300 * ms,
		},
		"threads released, beyond the longest hold": {
			Attempt{Silence: 1300 * ms, Timeout: 300 * ms, ThreadsReleased: true, Lock: lock}, Lost, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, again := Evaluate(c.attempt)
			if status != c.status || again != c.again {
				t.Errorf("status %d, reevaluate after %v; want %d, %v", status, again, c.status, c.again)
			}
		})
	}
}
