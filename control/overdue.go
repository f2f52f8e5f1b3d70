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

// checkOverdue judges an attempt that takes longer than nearly all answers, again while it is in time. One
// that is lost, or overdue in an overload, is not judged again.
func (c *Controller) checkOverdue(attempt *attempt) {
	if !attempt.inFlight || attempt.request.closed || attempt.cancelled || attempt.presumedLost {
		return
	}
	state := c.overdueStateOf(attempt)
	verdict, again := overdue.Evaluate(state)
	if verdict == overdue.Blocked {
		c.blockedByLock(attempt)
		state.ThreadsReleased = attempt.threadsReleased
		verdict, again = overdue.Evaluate(state)
	}
	switch verdict {
	case overdue.Pending:
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

// attemptLost presumes the answer of an attempt lost, with a confidence. The attempt may still run: its
// threads are released once it is twice as old as now.
func (c *Controller) attemptLost(attempt *attempt) {
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

// blockedByLock takes an attempt that waits for a data-set lock, whichever broker's request holds it. It
// needs no threads meanwhile, requests that the lock would block are sent to other engines, and so is its own
// request, if there is time.
func (c *Controller) blockedByLock(attempt *attempt) {
	attempt.releaseThreads()
	attempt.engine.dataSetLocks.PresumeLocked(attempt.request.DataSet, c.now+c.workload.Summary().LongestLock)
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
	// On one thread the work takes at least as long as on the threads of its class: an upper bound, which
	// leaves time for the slowdown of an engine that is not selected yet.
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
