package control

import (
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/overdue"
)

// attemptTimeout is how long an attempt of a request at an engine is waited for.
func (c *Controller) attemptTimeout(request *request, engine *engine) time.Duration {
	late := overdue.LateQuantile(c.outliers.LossRate(&engine.health))
	return request.class.ServiceTime.Quantile(c.expectedServiceTime(request, engine), late)
}

// checkOverdue judges an attempt that takes longer than nearly all answers, until it is over or cancelled.
func (c *Controller) checkOverdue(attempt *attempt) {
	if !attempt.inFlight || attempt.request.closed || attempt.cancelled || attempt.presumedLost {
		return
	}
	state := c.overdueStateOf(attempt)
	verdict, again := overdue.Judge(state)
	if verdict == overdue.Blocked {
		c.blockedByLock(attempt)
		state.Lock.Released = attempt.released
		verdict, again = overdue.Judge(state)
	}
	switch verdict {
	case overdue.InTime:
		c.startTimer(again, attemptOverdue{attempt})
	case overdue.Lost:
		c.attemptLost(attempt)
	case overdue.Blocked, overdue.Overload:
	}
}

// overdueStateOf is what an attempt is judged by.
func (c *Controller) overdueStateOf(attempt *attempt) overdue.Attempt {
	state := overdue.Attempt{
		Silence:          c.now - max(attempt.sentAt, attempt.lastProgressAt),
		Timeout:          c.attemptTimeout(attempt.request, attempt.engine),
		ProgressInterval: c.settings.ProgressInterval,
		LossRate:         c.outliers.LossRate(&attempt.engine.health),
		FleetLossRate:    c.outliers.FleetLossRate(),
	}
	if class := attempt.request.class; class.BlockedByDataSetLock {
		state.Lock = &overdue.Lock{
			Objective:      class.LatencyObjective,
			LongestHold:    c.workload.Summary().LongestLock,
			EngineResponds: attempt.engine.health.RespondedWithin(overdue.MinLossWait, c.now),
			Released:       attempt.released,
		}
	}
	return state
}

// attemptLost takes an attempt as lost, as far as that is certain. It may still run, for as long again.
func (c *Controller) attemptLost(attempt *attempt) {
	attempt.presumedLost = true
	c.startTimer(c.now-attempt.sentAt, lostAttemptStopped{attempt})
	health := &attempt.engine.health
	attempt.lossConfidence = overdue.LossConfidence(c.outliers.LossRate(health))
	c.outliers.Lost(health, attempt.lossConfidence)
	if c.outliers.Silent(health) {
		c.eject(attempt.engine, outlier.Silent)
	}
	c.hedgeOrCancel(attempt)
}

// blockedByLock takes an attempt that waits for a lock, of whichever broker: it needs no threads then,
// requests that the lock would block go elsewhere, and it is tried elsewhere while there is time.
func (c *Controller) blockedByLock(attempt *attempt) {
	attempt.releaseThreads()
	attempt.engine.dataSetLocks.Presume(attempt.request.DataSet, c.now+c.workload.Summary().LongestLock)
	c.hedgeOrCancel(attempt)
}

// hedgeOrCancel cancels an attempt, to be retried, or hedges it where attempts can't be cancelled, if another
// attempt is allowed and its answer would still count.
func (c *Controller) hedgeOrCancel(attempt *attempt) {
	request, limits := attempt.request, &c.settings.Limits
	if attempt.cancelled || request.queuedOn != nil || len(request.attempts) >= limits.MaxAttempts ||
		!request.class.Idempotency.RepeatableAnywhere() {
		return
	}
	if !c.retryPolicy.Hedges(request.retryInput(c.now), request.expectedWork.OnThreads(1).Duration()) {
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
