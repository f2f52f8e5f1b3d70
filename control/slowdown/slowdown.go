// Package slowdown estimates how much longer engines take for requests than the best engine of the fleet,
// from answers and from the age of attempts in flight.
package slowdown

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Config specifies the answers of a deployment.
type Config struct {
	ReportsWork bool          // answers report the work that they took
	IdleAfter   time.Duration // time without an answer after which a slowdown decays
}

const (
	answerWeight       = 0.25 // minimum weight of an answer in an engine's slowdown
	unknownWorkDivisor = 3.0  // divides the weight of an answer that does not report its work
	poolAnswers        = 3.0  // weight of the pool's slowdown, in outcomes of an engine
	recovery           = 0.02 // fraction by which a slowdown falls in a tick of 100 ms without an answer
	risingBestWeight   = 0.02 // weight of an interval in the best slowdown while it rises
	minSamples         = 10   // a slowdown is trusted if it is based on more answers than this

	workScatter units.LogRatio = 0.5 // slowdown explained by the scatter of unreported work
)

// Engine holds the slowdown of an engine, or of a pool of engines.
type Engine struct {
	logRatio  units.LogRatio // moving average of the logarithm of service time over work
	samples   int            // number of answers in the average
	sampledAt time.Duration  // time of the last answer
	ageRatio  float64        // median age of attempts in flight over their usual time
}

// Trusted reports whether a slowdown is based on enough answers.
func (e *Engine) Trusted() bool { return e.samples > minSamples }

// AgeRatio returns the median age of the attempts in flight over their usual time.
func (e *Engine) AgeRatio() float64 { return e.ageRatio }

// Estimator estimates the slowdown of the engines of a fleet.
type Estimator struct {
	config Config
	best   units.LogRatio // smallest slowdown of any engine; 0: unknown
}

// NewEstimator returns an estimator without answers.
func NewEstimator(config Config) Estimator { return Estimator{config: config} }

// Slowdown returns an engine's slowdown relative to the best engine, estimated from its answers.
func (s *Estimator) Slowdown(engine *Engine) units.LogRatio { return s.relativeToBest(engine.logRatio) }

// SlowdownInPool returns the slowdown of an engine of a pool, relative to the best engine. The fewer outcomes
// (outlier.Health.Outcomes) the engine has, the larger the weight of the whole pool's answers.
func (s *Estimator) SlowdownInPool(engine, pool *Engine, outcomes float64) units.LogRatio {
	own := (engine.logRatio - pool.logRatio) * units.LogRatio(outcomes) /
		units.LogRatio(outcomes+poolAnswers)
	return s.relativeToBest(pool.logRatio + own)
}

func (s *Estimator) relativeToBest(log units.LogRatio) units.LogRatio {
	if s.config.ReportsWork {
		return max(0, log-s.best)
	}
	return max(0, log-s.best-workScatter)
}

// Observe adds an answer's logarithm of service time over work, as returned by workload.Cost.Observe, to an
// engine's slowdown.
func (s *Estimator) Observe(engine *Engine, sample units.LogRatio, now time.Duration) {
	weight := estimate.SampleWeight(s.minWeight(), float64(engine.samples+1))
	engine.logRatio = estimate.EWMA(engine.logRatio, sample, weight)
	engine.samples, engine.sampledAt = engine.samples+1, now
}

// ObserveInPool adds an answer to the slowdown of an engine of a pool, given the engine's outcomes
// (outlier.Health.Outcomes). The caller also adds the answer to the pool, by Observe.
func (s *Estimator) ObserveInPool(engine *Engine, sample units.LogRatio, outcomes float64) {
	weight := estimate.SampleWeight(s.minWeight(), outcomes)
	engine.logRatio = estimate.EWMA(engine.logRatio, sample, weight)
}

// minWeight returns the minimum weight of an answer.
func (s *Estimator) minWeight() float64 {
	if s.config.ReportsWork {
		return answerWeight
	}
	return answerWeight / unknownWorkDivisor
}

// Recover moves the slowdown of an engine without recent answers toward the best one. It must be called
// once a tick of 100 ms.
func (s *Estimator) Recover(engine *Engine, now time.Duration) {
	if now-engine.sampledAt > s.config.IdleAfter {
		engine.logRatio = estimate.EWMA(engine.logRatio, s.best, recovery)
	}
}

// Reset discards the answers of an engine's previous process, after the engine has restarted.
func (s *Estimator) Reset(engine *Engine) { engine.logRatio, engine.samples = s.best, 0 }

// UpdateBest follows the smallest trusted slowdown of the healthy engines: immediately when it falls, slowly
// when it rises. It must be called once an interval.
func (s *Estimator) UpdateBest(healthy []*Engine) {
	smallest := units.LogRatio(math.Inf(1))
	for _, engine := range healthy {
		if engine.Trusted() {
			smallest = min(smallest, engine.logRatio)
		}
	}
	switch {
	case math.IsInf(float64(smallest), 1):
	case smallest < s.best || s.best == 0:
		s.best = smallest
	default:
		s.best = estimate.EWMA(s.best, smallest, risingBestWeight)
	}
}
