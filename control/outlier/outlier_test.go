package outlier

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

func TestRecordFailureEjectsWithReason(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		succeeded, failed int
		connected         bool
		reason            Reason
		eject             bool
	}{
		"most attempts fail":             {10, 6, true, Failing, true},
		"a few attempts fail":            {10, 3, true, 0, false},
		"a few attempts fail to connect": {10, 3, false, Unreachable, true},
		"one attempt fails to connect":   {10, 1, false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, engine := NewDetector(DefaultConfig()), NewHealth(0)
			for range c.succeeded {
				d.RecordSuccess(&engine, 0, time.Second)
			}
			reason, eject := Reason(0), false
			for range c.failed {
				reason, eject = d.RecordFailure(&engine, c.connected)
			}
			if reason != c.reason || eject != c.eject {
				t.Errorf("got %d, %v; want %d, %v", reason, eject, c.reason, c.eject)
			}
		})
	}
}

func TestEjectedEngineIsRestoredAtLowFailureRate(t *testing.T) {
	t.Parallel()
	d, engine := NewDetector(DefaultConfig()), NewHealth(0)
	for range 50 {
		d.RecordFailure(&engine, true)
	}
	if !engine.Eject(0, time.Second) || engine.Eject(0, time.Second) {
		t.Error("want only the first Eject to report a change")
	}
	successes := 0
	for restored := false; !restored; successes++ {
		restored = d.RecordSuccess(&engine, time.Second, time.Second)
	}
	if rate := engine.FailureRate(); successes < 2 || rate >= 0.6 || engine.Ejected() {
		t.Errorf("restored after %d successes with a failure rate of %v", successes, rate)
	}
}

func TestHalfOpenProbes(t *testing.T) {
	t.Parallel()
	probe := HalfOpenProbe{EngineIdle: true, FirstAttempt: true, LowestPriority: true}
	for name, c := range map[string]struct {
		probe HalfOpenProbe
		now   time.Duration
		want  bool
	}{
		"after the backoff":  {probe, time.Second, true},
		"before the backoff": {probe, time.Second - 1, false},
		"attempt in flight":  {HalfOpenProbe{FirstAttempt: true, LowestPriority: true}, time.Second, false},
		"retry":              {HalfOpenProbe{EngineIdle: true, LowestPriority: true}, time.Second, false},
		"higher priority":    {HalfOpenProbe{EngineIdle: true, FirstAttempt: true}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := NewHealth(0)
			engine.Eject(0, time.Second)
			if got := engine.MayProbeHalfOpen(c.probe, c.now); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestLossRateStartsAtFleetRate(t *testing.T) {
	t.Parallel()
	d, silent, other := NewDetector(DefaultConfig()), NewHealth(0), NewHealth(0)
	if rate := d.LossRate(&other); math.Abs(float64(rate-priorLossRate)) > 1e-12 {
		t.Errorf("loss rate without answers: %v, want the prior", rate)
	}
	for range 6 {
		d.RecordLoss(&silent, 0.9)
	}
	if !d.IsSilent(&silent) || d.IsSilent(&other) {
		t.Errorf("loss rates %v and %v, want only the first engine to be silent", d.LossRate(&silent), d.LossRate(&other))
	}
	if own, fleet := d.LossRate(&other), d.FleetLossRate(); math.Abs(float64(own-fleet)) > 1e-12 || own < 0.1 {
		t.Errorf("loss rate of an engine without answers %v, want %v, the rate of the fleet, and at least 0.1", own, fleet)
	}
	for range 6 {
		d.RevertLoss(&silent, 0.9)
	}
	if rate := d.LossRate(&silent); rate > priorLossRate {
		t.Errorf("loss rate after late answers: %v", rate)
	}
}

func TestBackoffGrowsWithFleet(t *testing.T) {
	t.Parallel()
	d := NewDetector(DefaultConfig())
	for _, c := range []struct {
		engines     int
		arrivalRate units.PerSecond
		want        time.Duration
	}{
		{5, 100, 500 * time.Millisecond},
		{40, 10, 2 * time.Second},
		{40, 1, 8 * time.Second},
		{40, 0, 8 * time.Second},
	} {
		if got := d.Backoff(c.engines, c.arrivalRate); got != c.want {
			t.Errorf("%d engines, %v requests per second: got %v, want %v", c.engines, c.arrivalRate, got, c.want)
		}
	}
}

func TestAtCapacityEndsAfterPauseOrReset(t *testing.T) {
	t.Parallel()
	engine, now := NewHealth(0), time.Second
	if engine.AtCapacity(now) {
		t.Error("at capacity initially")
	}
	engine.RecordAtCapacity(now)
	if !engine.AtCapacity(now+atCapacityPause-1) || engine.AtCapacity(now+atCapacityPause) {
		t.Errorf("want the engine to be at capacity for exactly %v", atCapacityPause)
	}
	engine.Reset()
	if engine.AtCapacity(now) {
		t.Error("at capacity after a reset")
	}
}

func TestDecayLowersOutcomesAndFailureRate(t *testing.T) {
	t.Parallel()
	d, engine := NewDetector(DefaultConfig()), NewHealth(0)
	d.RecordFailure(&engine, true)
	before := engine.FailureRate()
	engine.Decay()
	if engine.Outcomes() != answerDecay || engine.FailureRate() != before*units.Fraction(failureDecay) {
		t.Errorf("outcomes %v, failure rate %v, was %v", engine.Outcomes(), engine.FailureRate(), before)
	}
}
