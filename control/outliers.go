package control

import (
	"time"

	"wheatlane/control/outlier"
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
	return c.outliers.Backoff(len(c.endpoints.all), c.workload.Summary().ArrivalRate)
}

// mayProbeHalfOpen reports whether a request may be an ejected engine's next half-open probe.
func (c *Controller) mayProbeHalfOpen(e *engine, r *request) bool {
	return e.health.MayProbe(outlier.Probe{
		EngineIdle:     e.pooled() || e.concurrency.InFlight() == 0,
		FirstAttempt:   len(r.attempts) == 0,
		LowestPriority: r.class.PriorityWeight <= c.classes.lowestWeight,
	}, c.now)
}
