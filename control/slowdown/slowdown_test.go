package slowdown

import (
	"math"
	"testing"
	"time"

	"wheatlane/control/units"
)

func near(a, b units.LogRatio) bool { return math.Abs(float64(a-b)) < 1e-9 }

// observed returns an engine with a number of answers of the same slowdown.
func observed(s *Estimator, sample units.LogRatio, answers int) Engine {
	var engine Engine
	for range answers {
		s.Observe(&engine, sample, time.Second)
	}
	return engine
}

func TestSlowdownIsRelativeToBestEngine(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reportsWork bool
		slow, want  units.LogRatio
	}{
		"work reported":                 {true, 1.2, 1.1},
		"work not reported":             {false, 1.2, 1.1 - workScatter},
		"less than the scatter of work": {false, 0.4, 0},
		"faster than the best":          {true, 0.05, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewEstimator(Config{ReportsWork: c.reportsWork})
			best, slow := observed(&s, 0.1, minSamples+1), observed(&s, c.slow, minSamples+1)
			s.UpdateBest([]*Engine{&best})
			if got := s.Slowdown(&slow); !near(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestBestSlowdownFallsImmediatelyAndRisesSlowly(t *testing.T) {
	t.Parallel()
	s := NewEstimator(Config{ReportsWork: true})
	few, better, worse := observed(&s, 0.01, minSamples), observed(&s, 0.1, 20), observed(&s, 1.1, 20)
	for _, step := range []struct {
		healthy []*Engine
		want    units.LogRatio
	}{
		{[]*Engine{&few}, 0},
		{[]*Engine{&worse}, 1.1},
		{[]*Engine{&few, &worse, &better}, 0.1},
		{[]*Engine{&worse}, 0.1 + risingBestWeight},
		{nil, 0.1 + risingBestWeight},
	} {
		if s.UpdateBest(step.healthy); !near(s.best, step.want) {
			t.Fatalf("got %v, want %v", s.best, step.want)
		}
	}
}

func TestPooledEngineStartsAtPoolSlowdown(t *testing.T) {
	t.Parallel()
	s := NewEstimator(Config{ReportsWork: true})
	pool, engine := observed(&s, 0.2, 20), observed(&s, 0.8, 20)
	for answers, want := range map[float64]units.LogRatio{0: 0.2, poolAnswers: 0.5, 1e12: 0.8} {
		if got := s.SlowdownInPool(&engine, &pool, answers); !near(got, want) {
			t.Errorf("slowdown after %v outcomes: got %v, want %v", answers, got, want)
		}
	}
}

func TestSlowdownRecoversWithoutAnswers(t *testing.T) {
	t.Parallel()
	s := NewEstimator(Config{ReportsWork: true, IdleAfter: time.Second})
	engine := observed(&s, 1, 20) // its last answer arrived after 1 s
	if s.Recover(&engine, 2*time.Second); !near(engine.logRatio, 1) {
		t.Errorf("slowdown %v with recent answers, want 1", engine.logRatio)
	}
	if s.Recover(&engine, 2*time.Second+1); !near(engine.logRatio, 1-recovery) {
		t.Errorf("slowdown %v after a second without answers", engine.logRatio)
	}
	if s.Reset(&engine); engine.logRatio != s.best || engine.Trusted() {
		t.Errorf("slowdown %v after a reset", engine.logRatio)
	}
}

func TestAgeRatioIsMedian(t *testing.T) {
	t.Parallel()
	var engine Engine
	now := 10 * time.Second
	ofAge := func(age time.Duration) float64 {
		return Attempt{SentAt: now - age, ExpectedWork: 0.8, Threads: 2}.AgeRatio(now)
	}
	engine.SetAgeRatios([]float64{ofAge(8 * time.Second), ofAge(2 * time.Second), ofAge(time.Second)})
	if got := engine.AgeRatio(); math.Abs(got-4) > 1e-9 { // an age of 2 s over the usual 0.5 s
		t.Errorf("age ratio %v, want 4", got)
	}
	if got, want := engine.AgeAdjusted(0.1), units.LogRatioOf(2); !near(got, want) {
		t.Errorf("slowdown %v, want %v", got, want)
	}
	if got := engine.AgeAdjusted(3); got != 3 {
		t.Errorf("slowdown %v, want 3", got)
	}
	if engine.SetAgeRatios(nil); engine.AgeRatio() != 0 {
		t.Errorf("age ratio %v with nothing in flight, want 0", engine.AgeRatio())
	}
}
