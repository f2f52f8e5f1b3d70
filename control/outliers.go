package control

import "time"

// Tuned values of outlier detection and ejection.
const (
	ejectFailureRate       = 0.6                    // an engine that fails more is ejected
	unreachableFailureRate = 0.3                    // and one that can't be connected to and fails more
	ejectLossRate          = 0.5                    // share of answers lost at which an engine is silent
	minEjectionBackoff     = 500 * time.Millisecond // shortest wait between half-open probes
	maxEjectionBackoff     = 8 * time.Second        // longest
)

// recordOutcome follows an engine's health from how an attempt ended.
func (c *Controller) recordOutcome(e *engine, status Status) {
	failed := 1.0
	switch status {
	case NeverSent, Cancelled:
		return
	case TimedOut:
		if !c.underPressure(e.queueOwner) {
			c.recordLoss(e, 1)
		}
		return
	case AtCapacity:
		e.atCapacityAt, e.lastResponseAt, e.queueOwner.atCapacityAt = c.now, c.now, c.now
		return
	case OK:
		failed, e.lastResponseAt = 0, c.now
	case Failed, ConnectionReset:
		e.lastResponseAt = c.now
	case ConnectFailed:
	}
	c.recordAnswer(e, failed)
	switch {
	case status == OK:
		c.answered(e)
	case e.failureRate > ejectFailureRate:
		c.eject(e, "failing")
	case status == ConnectFailed && e.failureRate > unreachableFailureRate:
		c.eject(e, "unreachable")
	}
}

// answered brings an ejected engine's next half-open probe forward, and restores it once it fails little.
func (c *Controller) answered(e *engine) {
	e.halfOpenAt = min(e.halfOpenAt, c.now+c.ejectionBackoff())
	if e.ejected && e.failureRate < ejectFailureRate {
		e.ejected = false
		c.updateFleet()
		c.logf(restoredSubject(e.ID), "engine %s is restored", e.ID)
	}
}

// eject takes an outlier out of service, but for half-open probes.
func (c *Controller) eject(e *engine, reason string) {
	if e.ejected {
		return
	}
	e.ejected, e.halfOpenAt = true, c.now+c.ejectionBackoff()
	c.updateFleet()
	c.logf(ejectedSubject(e.ID), "engine %s is ejected: %s", e.ID, reason)
	c.requeueWaiting(e)
}

// ejectionBackoff is the wait between half-open probes, longer for brokers of many: their probes add up.
func (c *Controller) ejectionBackoff() time.Duration {
	perEngine := seconds(float64(len(c.endpoints.all)) / float64(c.workload.Summary().ArrivalRate) / 2)
	return min(maxEjectionBackoff, max(minEjectionBackoff, perEngine))
}

// mayProbeHalfOpen says whether a request may be an ejected engine's next half-open probe: one at a time, a
// first attempt, and of a class with the least priority weight.
func (c *Controller) mayProbeHalfOpen(e *engine, r *request) bool {
	return c.now >= e.halfOpenAt && (e.pooled() || e.concurrency.InFlight() == 0) && len(r.attempts) == 0 &&
		r.class.PriorityWeight <= c.classes.lowestWeight
}
