package control

import (
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/overdue"
)

// attemptTimeout returns the time after which an attempt of a request at an engine is overdue.
func (c *Controller) attemptTimeout(request *request, engine *engine) time.Duration {
	late := overdue.LateQuantile(c.outliers.LossRate(&engine.health))
	return request.class.ServiceTime.Quantile(c.expectedServiceTime(request, engine), late)
}

// evaluateOverdue evaluates an attempt that takes longer than nearly all responses. It evaluates the attempt
// again later while its response is pending, but not if it is lost, blocked or overdue because of overload.
func (c *Controller) evaluateOverdue(attempt *attempt) {
	if !attempt.inFlight || attempt.request.closed || attempt.cancelled || attempt.presumedLost {
		return
	}
	state := c.overdueStateOf(attempt)
	status, reevaluateAfter := overdue.Evaluate(state)
	if status == overdue.Blocked {
		c.releaseBlockedAttempt(attempt)
		state.ThreadsReleased = attempt.threadsReleased
		status, reevaluateAfter = overdue.Evaluate(state)
	}
	switch status {
	case overdue.Pending:
		attempt.overdueTimer = c.startTimer(reevaluateAfter, attemptOverdue{attempt})
	case overdue.Lost:
		c.presumeLost(attempt)
	case overdue.Blocked, overdue.Overload:
	}
}

// overdueStateOf returns the state of an attempt that package overdue evaluates.
func (c *Controller) overdueStateOf(attempt *attempt) overdue.Attempt {
	state := overdue.Attempt{
		Silence:          c.now - max(attempt.sentAt, attempt.lastProgressAt),
		Timeout:          c.attemptTimeout(attempt.request, attempt.engine),
		ProgressInterval: c.settings.ProgressInterval,
		LossRate:         c.outliers.LossRate(&attempt.engine.health),
		FleetLossRate:    c.outliers.FleetLossRate(),
		ThreadsReleased:  attempt.threadsReleased,
	}
	if class := attempt.request.class; class.BlockedByDataSetLock {
		state.Lock = &overdue.Lock{
			Objective:      class.LatencyObjective,
			LongestHold:    c.workload.Summary().LongestLock,
			EngineResponds: attempt.engine.health.RespondedWithin(overdue.MinLossWait, c.now),
		}
	}
	return state
}

// presumeLost presumes the response of an attempt lost, with a confidence, and ejects the engine if it is
// silent. The attempt may still run on the engine: its threads are released at twice its present age.
func (c *Controller) presumeLost(attempt *attempt) {
	attempt.presumedLost = true
	c.startTimer(c.now-attempt.sentAt, lostAttemptStopped{attempt})
	health := &attempt.engine.health
	attempt.lossConfidence = overdue.LossConfidence(c.outliers.LossRate(health))
	c.outliers.RecordLoss(health, attempt.lossConfidence)
	if c.outliers.IsSilent(health) {
		c.eject(attempt.engine, outlier.Silent)
	}
	c.hedgeOrCancel(attempt)
}

// releaseBlockedAttempt handles an attempt that waits for a data-set lock, held by a request of any broker.
// The attempt uses no threads meanwhile, so they are released. Requests that the lock would block are sent to
// other engines, and so is the attempt's own request if there is time.
func (c *Controller) releaseBlockedAttempt(attempt *attempt) {
	attempt.releaseThreads()
	lockExpiry := c.now + c.workload.Summary().LongestLock
	attempt.engine.dataSetLocks.PresumeLocked(attempt.request.DataSet, lockExpiry)
	c.hedgeOrCancel(attempt)
}

// hedgeOrCancel cancels an attempt so that it is retried, or hedges it where attempts can't be cancelled. It
// does so only if another attempt is allowed and its response would still be of value.
func (c *Controller) hedgeOrCancel(attempt *attempt) {
	request, limits := attempt.request, &c.settings.Limits
	if attempt.cancelled || request.queuedOn != nil || len(request.attempts) >= limits.MaxAttempts ||
		!request.class.Idempotency.RepeatableAnywhere() {
		return
	}
	// The time on one thread is an upper bound of the time on the class's threads. It leaves time for the
	// slowdown of the engine, which is not selected yet.
	longest := request.expectedWork.OnThreads(1).Duration()
	if !c.retryPolicy.ShouldHedge(request.retryInput(c.now), longest) {
		return
	}
	if limits.Cancellation {
		c.emit(attempt.cancel())
		return
	}
	if engine := c.selectEngine(request, attempt.engine); engine != nil && engine != attempt.engine {
		c.sendAttempt(request, engine)
	}
}
