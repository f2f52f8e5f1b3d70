// Package outlier detects engines that fail, can't be reached or lose answers, and ejects them: an ejected
// engine gets no requests but half-open probes, until it succeeds again. Selection ignores ejections while
// more than half of the ready engines are ejected.
package outlier

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Reason is why an engine is ejected.
type Reason int

// The reasons for an ejection.
const (
	// Failing is a failure rate over MaxFailureRate, whatever the cause, refused connections included.
	Failing Reason = iota + 1
	// Unreachable is a failure rate over MaxUnreachableFailureRate but not MaxFailureRate, when the last
	// attempt could not connect.
	Unreachable
	// Silent is a loss rate over MaxLossRate.
	Silent
)

// reasonNames are the names of the reasons in logs.
var reasonNames = [...]string{Failing: "failing", Unreachable: "unreachable", Silent: "silent"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Config holds the limits beyond which an engine is an outlier.
type Config struct {
	MaxFailureRate            units.Fraction // of attempts
	MaxUnreachableFailureRate units.Fraction // of attempts, where the last one could not connect
	MaxLossRate               units.Fraction // of answers
	MinBackoff, MaxBackoff    time.Duration  // bounds of the time between half-open probes
}

// DefaultConfig returns the limits that brokers use.
func DefaultConfig() Config {
	return Config{
		MaxFailureRate: 0.6, MaxUnreachableFailureRate: 0.3, MaxLossRate: 0.5,
		MinBackoff: 500 * time.Millisecond, MaxBackoff: 8 * time.Second,
	}
}

const (
	failureWeight = 0.2  // least weight of one attempt in a failure rate
	failureDecay  = 0.98 // fraction of a failure rate that is left after a tick of 100 ms
	answerDecay   = 0.99 // fraction of the answers that is left after a tick

	priorLossRate    = 0.01 // fraction of answers that is expected to be lost
	priorLossAnswers = 20.0 // weight of priorLossRate, in answers of the fleet
	fleetLossAnswers = 3.0  // weight of the fleet's loss rate, in answers of the engine

	// backoffRequests is the number of requests received for each engine in the backoff.
	backoffRequests = 0.5
)

// Detector detects outliers among the engines of a fleet.
type Detector struct {
	config Config
	fleet  estimate.Loss // answers of all engines
}

// NewDetector returns a detector.
func NewDetector(config Config) Detector { return Detector{config: config} }

// RecordSuccess records an attempt that succeeded, and reports whether that restores an ejected engine. The next
// half-open probe is due after the backoff at the latest.
func (d *Detector) RecordSuccess(engine *Health, now, backoff time.Duration) (restored bool) {
	d.recordAnswer(engine, 0)
	engine.halfOpenAt = min(engine.halfOpenAt, now+backoff)
	restored = engine.ejected && engine.failureRate < d.config.MaxFailureRate
	if restored {
		engine.ejected = false
	}
	return restored
}

// RecordFailure records an attempt that failed; connected is false if it could not connect. It returns the reason
// for which the engine is to be ejected, if any.
func (d *Detector) RecordFailure(engine *Health, connected bool) (reason Reason, eject bool) {
	d.recordAnswer(engine, 1)
	switch {
	case engine.failureRate > d.config.MaxFailureRate:
		return Failing, true
	case !connected && engine.failureRate > d.config.MaxUnreachableFailureRate:
		return Unreachable, true
	}
	return 0, false
}

func (d *Detector) recordAnswer(engine *Health, failed units.Fraction) {
	engine.loss.RecordAnswer()
	d.fleet.RecordAnswer()
	weight := estimate.SampleWeight(failureWeight, engine.loss.Outcomes+1)
	engine.failureRate = estimate.EWMA(engine.failureRate, failed, weight)
}

// RecordLoss records an answer that never came: the attempt timed out, or package overdue judged it lost. The
// certainty, from 0 to 1, is the probability that it is lost.
func (d *Detector) RecordLoss(engine *Health, certainty units.Fraction) {
	engine.loss.RecordLoss(float64(certainty))
	d.fleet.RecordLoss(float64(certainty))
}

// RevertLoss takes Lost back, as the answer came after all.
func (d *Detector) RevertLoss(engine *Health, certainty units.Fraction) {
	engine.loss.RevertLoss(float64(certainty))
	d.fleet.RevertLoss(float64(certainty))
}

// IsSilent reports whether an engine loses so many answers that it is to be ejected.
func (d *Detector) IsSilent(engine *Health) bool { return d.LossRate(engine) > d.config.MaxLossRate }

// LossRate is the fraction of an engine's answers that never come. The fewer its answers, the closer it is to
// that of the fleet.
func (d *Detector) LossRate(engine *Health) units.Fraction { return engine.LossRate(d.FleetLossRate()) }

// FleetLossRate is the fraction of all engines' answers that never come.
func (d *Detector) FleetLossRate() units.Fraction {
	return units.Fraction(d.fleet.Rate(priorLossRate, priorLossAnswers))
}

// Losses is the number of answers of all engines that count as lost, for tests. It decays, so it is no
// integer.
func (d *Detector) Losses() float64 { return d.fleet.Lost }

// DecayFleet lets older answers of the fleet count for less, once a tick of 100 ms.
func (d *Detector) DecayFleet() { d.fleet.Decay(answerDecay) }

// Backoff is the time between half-open probes of an engine, by the number of engines and the rate of the
// requests that this broker receives. It is longer for a broker of many, as their probes add up.
func (d *Detector) Backoff(engines int, arrivalRate units.PerSecond) time.Duration {
	backoff := units.Duration(float64(engines) / float64(arrivalRate) * backoffRequests)
	return min(d.config.MaxBackoff, max(d.config.MinBackoff, backoff))
}
