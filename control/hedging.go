package control

import (
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/overdue"
)

// attemptTimeout is how long an attempt of a request at an engine is waited for.
func (c *Controller) attemptTimeout(r *request, e *engine) time.Duration {
	late := overdue.LateQuantile(c.outliers.LossRate(&e.health))
	return r.class.ServiceTime.Quantile(c.expectedServiceTime(r, e), late)
}

// checkOverdue judges an attempt that takes longer than nearly all answers, until it is over or cancelled.
func (c *Controller) checkOverdue(a *attempt) {
	if !a.inFlight || a.request.closed || a.cancelled || a.presumedLost {
		return
	}
	state := c.overdueStateOf(a)
	verdict, again := overdue.Judge(state)
	if verdict == overdue.Blocked {
		c.blockedByLock(a)
		state.Lock.Released = a.released
		verdict, again = overdue.Judge(state)
	}
	switch verdict {
	case overdue.InTime:
		c.startTimer(again, attemptOverdue{a})
	case overdue.Lost:
		c.attemptLost(a)
	case overdue.Blocked, overdue.Overload:
	}
}

// overdueStateOf is what an attempt is judged by.
func (c *Controller) overdueStateOf(a *attempt) overdue.Attempt {
	state := overdue.Attempt{
		Silence:          c.now - max(a.sentAt, a.lastProgressAt),
		Timeout:          c.attemptTimeout(a.request, a.engine),
		ProgressInterval: c.settings.ProgressInterval,
		LossRate:         c.outliers.LossRate(&a.engine.health),
		FleetLossRate:    c.outliers.FleetLossRate(),
	}
	if k := a.request.class; k.BlockedByDataSetLock {
		state.Lock = &overdue.Lock{
			Objective:      k.LatencyObjective,
			LongestHold:    c.workload.Summary().LongestLock,
			EngineResponds: a.engine.health.RespondedWithin(overdue.MinLossWait, c.now),
			Released:       a.released,
		}
	}
	return state
}

// attemptLost takes an attempt as lost, as far as that is certain. It may still run, for as long again.
func (c *Controller) attemptLost(a *attempt) {
	a.presumedLost = true
	c.startTimer(c.now-a.sentAt, lostAttemptStopped{a})
	health := &a.engine.health
	a.lossConfidence = overdue.LossConfidence(c.outliers.LossRate(health))
	c.outliers.Lost(health, a.lossConfidence)
	if c.outliers.Silent(health) {
		c.eject(a.engine, outlier.Silent)
	}
	c.hedgeOrCancel(a)
}

// blockedByLock takes an attempt that waits for a lock, of whichever broker: it needs no threads then,
// requests that the lock would block go elsewhere, and it is tried elsewhere while there is time.
func (c *Controller) blockedByLock(a *attempt) {
	a.releaseThreads()
	a.engine.dataSetLocks.Presume(a.request.DataSet, c.now+c.workload.Summary().LongestLock)
	c.hedgeOrCancel(a)
}

// hedgeOrCancel cancels an attempt, to be retried, or hedges it where attempts can't be cancelled, if another
// attempt is allowed and its answer would still count.
func (c *Controller) hedgeOrCancel(a *attempt) {
	r, limits := a.request, &c.settings.Limits
	allowed := !a.cancelled && r.queuedOn == nil && len(r.attempts) < limits.MaxAttempts &&
		r.class.Idempotency.RepeatableAnywhere()
	if !allowed || !c.retryPolicy.Hedges(r.retryInput(c.now), r.expectedWork.OnThreads(1).Duration()) {
		return
	}
	if limits.Cancellation {
		c.emit(a.cancel())
	} else if e := c.selectEngine(r, a.engine); limits.Hedging && e != nil && e != a.engine {
		c.sendAttempt(r, e)
	}
}
