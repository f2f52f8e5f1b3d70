package control

import (
	"math"
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	failureGain        = 0.2  // least weight of one outcome in a failure rate
	slowdownGain       = 0.25 // weight of an answer in an engine's slowdown
	unknownWorkDivisor = 3.0  // answers that don't report their work weigh so much less there
	slowdownFade       = 0.02 // lost of a slowdown with each tick without answers
	bestSlowdownGain   = 0.02 // weight of an interval in the best slowdown when it gets worse
	workScatter        = 0.5  // log of slowdown that the spread of unreported work explains
	minSlowdownSamples = 10   // answers before an engine's slowdown is believed
	minUsualSeconds    = 0.1  // that any answer may take
	failureFade        = 0.98 // part of the failure rate left each tick
	evidenceFade       = 0.99 // part of an engine's evidence left each tick
	poolWeight         = 3.0  // answers of its own that weigh as much as the pool's
	priorLossRate      = 0.01 // expected share of answers lost
	priorLossWeight    = 20.0 // answers that this weighs as much as
)

// fleetEstimates is what is believed of all engines together.
type fleetEstimates struct {
	loss            estimate.Loss
	bestLogSlowdown float64 // log of the least slowdown of an engine
}

// estimatedSlowdown is the log of an engine's slowdown over the best seen. Where answers don't report work,
// only what stands out from the scatter counts. In a pool, the fewer an engine's own answers, the more the
// pool's count.
func (c *Controller) estimatedSlowdown(e *engine) float64 {
	slowdown := e.logSlowdown
	if e.pooled() {
		pool := e.queueOwner.logSlowdown
		slowdown = pool + (e.logSlowdown-pool)*e.loss.Answers/(e.loss.Answers+poolWeight)
	}
	if c.settings.ReportsCost {
		return max(0, slowdown-c.estimates.bestLogSlowdown)
	}
	return max(0, slowdown-c.estimates.bestLogSlowdown-workScatter)
}

// slowdown is the log of an engine's slowdown, from answers or, if worse, from the age of what is in flight.
func (c *Controller) slowdown(e *engine) float64 {
	return max(c.estimatedSlowdown(e), math.Log(max(1, e.overdueRatio/2)))
}

// lossRate is the share of an engine's answers that never come, shrunk to that of all engines, and that to
// the prior.
func (c *Controller) lossRate(e *engine) float64 { return e.loss.Rate(c.overallLossRate(), poolWeight) }

func (c *Controller) overallLossRate() float64 {
	return c.estimates.loss.Rate(priorLossRate, priorLossWeight)
}

// recordLoss counts an answer that never came, as far as that is sure.
func (c *Controller) recordLoss(e *engine, confidence float64) {
	e.loss.Lose(confidence)
	c.estimates.loss.Lose(confidence)
}

// recoverLoss takes that back, as the answer came after all.
func (c *Controller) recoverLoss(e *engine, confidence float64) {
	e.loss.Recover(confidence)
	c.estimates.loss.Recover(confidence)
}

// fadeEvidence lets what was seen count for less as it ages, once a tick.
func (c *Controller) fadeEvidence() {
	c.estimates.loss.Fade(evidenceFade)
	for _, e := range c.endpoints.all {
		e.loss.Fade(evidenceFade)
		e.failureRate *= failureFade
	}
	for _, e := range c.endpoints.queueOwners() {
		e.updateOverdue(c.now)
		if c.now-e.sampledAt > controlInterval { // without answers trust returns little by little
			best := c.estimates.bestLogSlowdown
			e.logSlowdown = estimate.Toward(e.logSlowdown, best, slowdownFade)
		}
	}
}

// recordAnswer counts an attempt that the engine answered, or could not be reached for, in its failure rate.
func (c *Controller) recordAnswer(e *engine, failed float64) {
	e.loss.Answer()
	c.estimates.loss.Answer()
	e.failureRate = estimate.Toward(e.failureRate, failed, estimate.Gain(failureGain, e.loss.Answers+1))
}

// updateOverdue sets the age of what is in flight over its usual time: the median, which one long request
// can't move.
func (e *engine) updateOverdue(now time.Duration) {
	ages := make([]float64, 0, len(e.attempts))
	for _, a := range e.attempts {
		if a.released {
			continue
		}
		usual := float64(a.request.expectedWork)/float64(a.request.class.Threads) + minUsualSeconds
		ages = append(ages, (now-a.sentAt).Seconds()/usual)
	}
	e.overdueRatio = estimate.Median(ages)
}

// updateBestSlowdown follows the least slowdown of the engines that are well: at once down, slowly up.
func (c *Controller) updateBestSlowdown() {
	least := math.Inf(1)
	for _, e := range c.endpoints.queueOwners() {
		if e.slowdownSamples > minSlowdownSamples && e.listed && !e.ejected {
			least = min(least, e.logSlowdown)
		}
	}
	best := &c.estimates.bestLogSlowdown
	switch {
	case math.IsInf(least, 1):
	case least < *best || *best == 0:
		*best = least
	default:
		*best = estimate.Toward(*best, least, bestSlowdownGain)
	}
}

// seconds converts a time in seconds, of at most some days.
func seconds(s float64) time.Duration { return units.Duration(s) }
