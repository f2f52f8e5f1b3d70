package control

import (
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/units"
)

// recordOutcome records how an attempt ended in its engine's health.
func (c *Controller) recordOutcome(e *engine, status Status) {
	switch status {
	case NeverSent, Cancelled:
	case TimedOut:
		if !c.underPressure(e.queueOwner) {
			c.outliers.Lost(&e.health, 1)
		}
	case AtCapacity:
		e.health.Rejected(c.now)
		e.queueOwner.health.Rejected(c.now)
	case OK:
		e.health.Responded(c.now)
		if c.outliers.Succeeded(&e.health, c.now, c.ejectionBackoff()) {
			c.updateFleet()
			c.emitThrottled(logSubject{restored, e.ID}, EngineRestored{e.ID})
		}
	case Failed, ConnectionReset:
		e.health.Responded(c.now)
		c.recordFailure(e, true)
	case ConnectFailed:
		c.recordFailure(e, false)
	}
}

func (c *Controller) recordFailure(e *engine, connected bool) {
	if reason, eject := c.outliers.Failed(&e.health, connected); eject {
		c.eject(e, reason)
	}
}

// eject takes an outlier out of service, but for half-open probes.
func (c *Controller) eject(e *engine, reason outlier.Reason) {
	if !e.health.Eject(c.now, c.ejectionBackoff()) {
		return
	}
	c.updateFleet()
	c.emitThrottled(logSubject{ejected, e.ID}, EngineEjected{e.ID, reason})
	c.requeueWaiting(e)
}

func (c *Controller) ejectionBackoff() time.Duration {
	return c.outliers.Backoff(len(c.endpoints.all), float64(c.workload.Summary().ArrivalRate))
}

// mayProbeHalfOpen reports whether a request may be an ejected engine's next half-open probe.
func (c *Controller) mayProbeHalfOpen(e *engine, r *request) bool {
	return e.health.MayProbe(outlier.Probe{
		EngineIdle:     e.pooled() || e.concurrency.InFlight() == 0,
		FirstAttempt:   len(r.attempts) == 0,
		LowestPriority: r.class.PriorityWeight <= c.classes.lowestWeight,
	}, c.now)
}

// lossRate is the fraction of an engine's answers that never come.
func (c *Controller) lossRate(e *engine) float64 { return float64(c.outliers.LossRate(&e.health)) }

// overallLossRate is the fraction of all engines' answers that never come.
func (c *Controller) overallLossRate() float64 { return float64(c.outliers.FleetLossRate()) }

// recordLoss counts an answer that never came, as far as that is certain.
func (c *Controller) recordLoss(e *engine, certainty float64) {
	c.outliers.Lost(&e.health, units.Fraction(certainty))
}

// recoverLoss takes that back, as the answer came after all.
func (c *Controller) recoverLoss(e *engine, certainty float64) {
	c.outliers.Recovered(&e.health, units.Fraction(certainty))
}
