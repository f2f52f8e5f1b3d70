// Package slowdown estimates how much longer engines take for requests than the best engine of their fleet,
// from answers and from the age of what is in flight.
package slowdown

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Config is what a deployment says of answers.
type Config struct {
	ReportsWork bool          // answers carry the work that they took
	IdleAfter   time.Duration // time without an answer after which a slowdown recovers
}

const (
	answerWeight       = 0.25 // least weight of an answer in an engine's slowdown
	unknownWorkDivisor = 3.0  // divides the weight of an answer that does not report its work
	poolAnswers        = 3.0  // weight of the pool's slowdown, in outcomes of the engine
	recovery           = 0.02 // fraction of a slowdown that a tick of 100 ms without an answer takes off
	worseBestWeight    = 0.02 // weight of an interval in the best slowdown when that gets worse
	minSamples         = 10   // a slowdown is trusted beyond this number of answers

	workScatter units.LogRatio = 0.5 // explained by the scatter of work where that is not reported
)

// Engine is the slowdown of an engine, or of a pool of engines.
type Engine struct {
	logRatio  units.LogRatio // logarithm of service time over work, averaged
	samples   int            // answers behind it
	sampledAt time.Duration  // of the last answer
	ageRatio  float64        // age of what is in flight over its usual time
}

// Trusted reports whether a slowdown rests on enough answers.
func (e *Engine) Trusted() bool { return e.samples > minSamples }

// AgeRatio is the age of what is in flight over its usual time.
func (e *Engine) AgeRatio() float64 { return e.ageRatio }

// Estimator estimates the slowdown of the engines of a fleet.
type Estimator struct {
	config Config
	best   units.LogRatio // least slowdown of an engine; 0: not known
}

// NewEstimator returns an estimator.
func NewEstimator(config Config) Estimator { return Estimator{config: config} }

// Slowdown is an engine's slowdown over the best one, as its answers show it.
func (s *Estimator) Slowdown(engine *Engine) units.LogRatio { return s.overBest(engine.logRatio) }

// SlowdownInPool is the same for an engine of a pool: the fewer its outcomes (outlier.Health.Outcomes), the
// more the answers of the whole pool count.
func (s *Estimator) SlowdownInPool(engine, pool *Engine, outcomes float64) units.LogRatio {
	own := (engine.logRatio - pool.logRatio) * units.LogRatio(outcomes) /
		units.LogRatio(outcomes+poolAnswers)
	return s.overBest(pool.logRatio + own)
}

func (s *Estimator) overBest(log units.LogRatio) units.LogRatio {
	if s.config.ReportsWork {
		return max(0, log-s.best)
	}
	return max(0, log-s.best-workScatter)
}

// Observe takes what an answer shows, as workload.Cost.Observe returns it: the logarithm of its service time
// over its work.
func (s *Estimator) Observe(engine *Engine, sample units.LogRatio, now time.Duration) {
	weight := estimate.SampleWeight(s.minWeight(), float64(engine.samples+1))
	engine.logRatio = estimate.EWMA(engine.logRatio, sample, weight)
	engine.samples, engine.sampledAt = engine.samples+1, now
}

// ObserveInPool takes an answer of an engine of a pool, given the engine's outcomes
// (outlier.Health.Outcomes). The pool observes the answer as well.
func (s *Estimator) ObserveInPool(engine *Engine, sample units.LogRatio, outcomes float64) {
	weight := estimate.SampleWeight(s.minWeight(), outcomes)
	engine.logRatio = estimate.EWMA(engine.logRatio, sample, weight)
}

// minWeight is the smallest weight of an answer.
func (s *Estimator) minWeight() float64 {
	if s.config.ReportsWork {
		return answerWeight
	}
	return answerWeight / unknownWorkDivisor
}

// Recover lets an engine without answers approach the best slowdown, once a tick of 100 ms.
func (s *Estimator) Recover(engine *Engine, now time.Duration) {
	if now-engine.sampledAt > s.config.IdleAfter {
		engine.logRatio = estimate.EWMA(engine.logRatio, s.best, recovery)
	}
}

// Reset drops what is known of an engine's earlier process.
func (s *Estimator) Reset(engine *Engine) { engine.logRatio, engine.samples = s.best, 0 }

// UpdateBest follows the least slowdown of the healthy engines, once an interval: down immediately, up
// slowly.
func (s *Estimator) UpdateBest(healthy []*Engine) {
	least := units.LogRatio(math.Inf(1))
	for _, engine := range healthy {
		if engine.Trusted() {
			least = min(least, engine.logRatio)
		}
	}
	switch {
	case math.IsInf(float64(least), 1):
	case least < s.best || s.best == 0:
		s.best = least
	default:
		s.best = estimate.EWMA(s.best, least, worseBestWeight)
	}
}
