package control

import (
	"time"

	"wheatlane/control/outlier"
)

// recordOutcome updates an engine's health from the status of an attempt that ended.
func (c *Controller) recordOutcome(engine *engine, status Status) {
	switch status {
	case NeverSent, Cancelled:
	case TimedOut:
		// A timeout raises the loss rate but does not eject the engine: presumeLost decides on the
		// ejection by that rate.
		if !c.underPressure(engine.queueOwner) {
			c.outliers.RecordLoss(&engine.health, 1)
		}
	case AtCapacity:
		engine.health.RecordAtCapacity(c.now)
		engine.queueOwner.health.RecordAtCapacity(c.now)
	case OK:
		engine.health.RecordResponse(c.now)
		if c.outliers.RecordSuccess(&engine.health, c.now, c.ejectionBackoff()) {
			c.refreshEndpoints()
			c.emitThrottled(noticeKey{restored, engine.ID}, EngineRestored{engine.ID})
		}
	case Failed, ConnectionReset, ConnectFailed:
		connected := status != ConnectFailed
		if connected {
			engine.health.RecordResponse(c.now)
		}
		if reason, eject := c.outliers.RecordFailure(&engine.health, connected); eject {
			c.eject(engine, reason)
		}
	}
}

// eject takes an outlier out of service except for half-open probes.
func (c *Controller) eject(engine *engine, reason outlier.Reason) {
	if !engine.health.Eject(c.now, c.ejectionBackoff()) {
		return
	}
	c.refreshEndpoints()
	c.emitThrottled(noticeKey{ejected, engine.ID}, EngineEjected{engine.ID, reason})
	c.requeueAll(engine)
}

// ejectionBackoff returns the backoff that currently applies to half-open probes of ejected engines.
func (c *Controller) ejectionBackoff() time.Duration {
	return c.outliers.Backoff(len(c.endpoints.all), c.workload.Summary().ArrivalRate)
}

// mayProbeHalfOpen reports whether a request may be the next half-open probe of an ejected engine.
func (c *Controller) mayProbeHalfOpen(engine *engine, request *request) bool {
	return engine.health.MayProbeHalfOpen(outlier.HalfOpenProbe{
		EngineIdle:     engine.pooled() || engine.concurrency.ThreadsInFlight() == 0,
		FirstAttempt:   len(request.attempts) == 0,
		LowestPriority: request.class.PriorityWeight <= c.classes.lowestWeight,
	}, c.now)
}
