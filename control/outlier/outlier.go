// Package outlier detects engines that fail, are unreachable or lose answers, and ejects them: an ejected
// engine receives only half-open probes until it succeeds again. Selection ignores ejections while more than
// half of the ready engines are ejected.
package outlier

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// Reason is the reason for an engine's ejection.
type Reason int

// The reasons for an ejection.
const (
	// Failing is a failure rate over MaxFailureRate, whatever the cause, including refused connections.
	Failing Reason = iota + 1
	// Unreachable is a failure rate over MaxUnreachableFailureRate but not over MaxFailureRate, where the
	// last attempt could not connect.
	Unreachable
	// Silent is a loss rate over MaxLossRate.
	Silent
)

// reasonNames holds the names of the reasons in logs.
var reasonNames = [...]string{Failing: "failing", Unreachable: "unreachable", Silent: "silent"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Config holds the thresholds beyond which an engine is an outlier.
type Config struct {
	MaxFailureRate            units.Fraction // fraction of attempts that fail
	MaxUnreachableFailureRate units.Fraction // the same, where the last attempt could not connect
	MaxLossRate               units.Fraction // fraction of answers that are lost
	MinBackoff, MaxBackoff    time.Duration  // bounds of the time between half-open probes
}

// DefaultConfig returns the thresholds that brokers use.
func DefaultConfig() Config {
	return Config{
		MaxFailureRate: 0.6, MaxUnreachableFailureRate: 0.3, MaxLossRate: 0.5,
		MinBackoff: 500 * time.Millisecond, MaxBackoff: 8 * time.Second,
	}
}

const (
	failureWeight = 0.2  // minimum weight of one attempt in a failure rate
	failureDecay  = 0.98 // fraction of a failure rate that remains after a tick of 100 ms
	answerDecay   = 0.99 // fraction of the number of answers that remains after a tick

	priorLossRate    = 0.01 // expected fraction of answers that are lost
	priorLossAnswers = 20.0 // weight of priorLossRate, in answers of the fleet
	fleetLossAnswers = 3.0  // weight of the fleet's loss rate, in answers of the engine

	// backoffRequests is the number of requests that this broker receives per engine within a backoff.
	backoffRequests = 0.5
)

// Detector detects outliers among the engines that a fleet of brokers uses.
type Detector struct {
	config Config
	fleet  estimate.Loss // answers of all engines, received and lost
}

// NewDetector returns a detector without observations.
func NewDetector(config Config) Detector { return Detector{config: config} }

// RecordSuccess records an attempt that succeeded, and reports whether it restores an ejected engine. The
// next half-open probe is due after the backoff at the latest.
func (d *Detector) RecordSuccess(engine *Health, now, backoff time.Duration) (restored bool) {
	d.recordAnswer(engine, 0)
	engine.halfOpenAt = min(engine.halfOpenAt, now+backoff)
	restored = engine.ejected && engine.failureRate < d.config.MaxFailureRate
	if restored {
		engine.ejected = false
	}
	return restored
}

// RecordFailure records an attempt that failed; connected is false if it could not connect. It reports
// whether the engine must be ejected, and the reason.
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

// RecordLoss records a lost answer: the attempt timed out, or package overdue presumed its answer lost. The
// confidence is the probability that the answer is lost.
func (d *Detector) RecordLoss(engine *Health, confidence units.Fraction) {
	engine.loss.RecordLoss(float64(confidence))
	d.fleet.RecordLoss(float64(confidence))
}

// RevertLoss reverts RecordLoss for an answer that arrived late.
func (d *Detector) RevertLoss(engine *Health, confidence units.Fraction) {
	engine.loss.RevertLoss(float64(confidence))
	d.fleet.RevertLoss(float64(confidence))
}

// IsSilent reports whether an engine loses so many answers that it must be ejected.
func (d *Detector) IsSilent(engine *Health) bool { return d.LossRate(engine) > d.config.MaxLossRate }

// LossRate returns the fraction of an engine's answers that are lost. The fewer answers it is based on, the
// closer it is to the loss rate of the fleet.
func (d *Detector) LossRate(engine *Health) units.Fraction { return engine.LossRate(d.FleetLossRate()) }

// FleetLossRate returns the fraction of all engines' answers that are lost.
func (d *Detector) FleetLossRate() units.Fraction {
	return units.Fraction(d.fleet.Rate(priorLossRate, priorLossAnswers))
}

// Losses returns the number of answers of all engines that count as lost, for tests. The number decays, so it
// is not an integer.
func (d *Detector) Losses() float64 { return d.fleet.Lost }

// DecayFleet lowers the weight of the fleet's earlier answers. It must be called once a tick of 100 ms.
func (d *Detector) DecayFleet() { d.fleet.Decay(answerDecay) }

// Backoff returns the time between half-open probes of an engine. It grows with the number of engines, and
// shrinks with the rate of requests that this broker receives: a broker with a small part of the fleet's
// traffic probes less often, as the probes of all brokers add up.
func (d *Detector) Backoff(engines int, arrivalRate units.PerSecond) time.Duration {
	backoff := units.Duration(float64(engines) / float64(arrivalRate) * backoffRequests)
	return min(d.config.MaxBackoff, max(d.config.MinBackoff, backoff))
}
