package control

import (
	"math"
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/units"
)

// Tuned values of hedging: when an attempt is overdue, and what is done then.
const (
	minLateQuantile  = 0.003                  // least share of answers later than the attempt timeout
	maxLateQuantile  = 0.03                   // largest
	maxLossOdds      = 0.9                    // loss rate beyond which the odds of a loss are not trusted
	minLossWait      = 600 * time.Millisecond // no attempt is presumed lost sooner, where losses are rare
	minLockWait      = 0.25                   // part of the objective at which an attempt may be blocked
	missedProgress   = 1.75                   // progress intervals without a report that are overdue
	maxHedgeLossRate = 0.4                    // where more looks lost it is an overload: more would harm
	runawayFactor    = 4.0                    // times its usual time that a runaway has left
	minProgress      = 0.005                  // progress taken as made at least
)

// attemptTimeout is how long an attempt is waited for: until it is likelier lost than late, by the spread of
// service times and the share of answers lost.
func (c *Controller) attemptTimeout(r *request, e *engine) time.Duration {
	return r.class.ServiceTime.Quantile(c.expectedServiceTime(r, e), units.Fraction(c.lateQuantile(e)))
}

// lateQuantile is the share of answers that come later than an attempt is waited for.
func (c *Controller) lateQuantile(e *engine) float64 {
	lost := c.lossRate(e)
	return min(maxLateQuantile, max(minLateQuantile, lost/(1-min(lost, maxLossOdds))))
}

// checkOverdue looks at an attempt that takes longer than nearly all answers: lost, blocked, or only late.
func (c *Controller) checkOverdue(a *attempt) {
	if !a.inFlight || a.request.closed || a.cancelled || a.presumedLost {
		return
	}
	k, e := a.request.class, a.engine
	limit := c.attemptTimeout(a.request, e)
	if interval := c.settings.ProgressInterval; interval > 0 {
		limit = min(limit, units.Duration(missedProgress*interval.Seconds()))
	}
	silence := c.now - max(a.sentAt, a.lastProgressAt)
	// The likelier a loss, the sooner it is presumed.
	least := units.Duration(minLossWait.Seconds() * math.Sqrt(minLateQuantile/c.lateQuantile(e)))
	if k.BlockedByDataSetLock { // it may wait for a lock, which is no loss, but takes too long
		least = units.Duration(minLockWait * k.LatencyObjective.Seconds())
		engineAnswers := e.health.RespondedWithin(minLossWait, c.now)
		if engineAnswers && !a.released && silence >= max(limit, least) {
			c.blockedByLock(a)
		}
		if a.released {
			limit += c.workload.Summary().LongestLock
		}
	}
	if left := max(limit, least) - silence; left > 0 {
		c.startTimer(left, func() { c.checkOverdue(a) })
		return
	}
	if a.presumedLost = c.overallLossRate() < maxHedgeLossRate; a.presumedLost {
		c.attemptLost(a)
	}
}

// attemptLost takes an attempt as lost. It may be only late, which never shows if it is cancelled: it counts
// as far as a loss is sure, or the belief in losses would feed on itself, as it shortens the timeouts.
func (c *Controller) attemptLost(a *attempt) {
	e := a.engine
	c.startTimer(c.now-a.sentAt, func() { // it may still run: as long again, by its age
		if a.inFlight {
			c.releaseThreads(a)
		}
	})
	a.lossConfidence = c.lossRate(e) / (c.lossRate(e) + c.lateQuantile(e))
	c.recordLoss(e, a.lossConfidence)
	if c.outliers.Silent(&e.health) {
		c.eject(e, outlier.Silent)
	}
	c.hedgeOrCancel(a)
}

// blockedByLock takes an attempt that waits for a lock, of whichever broker: it needs no threads then,
// requests that the lock would block go elsewhere, and it is tried elsewhere while there is time.
func (c *Controller) blockedByLock(a *attempt) {
	c.releaseThreads(a)
	a.engine.dataSetLocks.Presume(a.request.DataSet, c.now+c.workload.Summary().LongestLock)
	c.hedgeOrCancel(a)
}

// hedgeOrCancel cancels an attempt, to be retried, or hedges it where attempts can't be cancelled.
func (c *Controller) hedgeOrCancel(a *attempt) {
	r := a.request
	if a.cancelled || r.queuedOn != nil || !c.mayHedge(r) {
		return
	}
	if c.settings.Limits.Cancellation {
		c.cancelAttempt(a)
	} else if e := c.selectEngine(r, a.engine); c.settings.Limits.Hedging && e != nil && e != a.engine {
		c.sendAttempt(r, e)
	}
}

// mayHedge says whether another attempt of a request is allowed, and its answer would still count.
func (c *Controller) mayHedge(r *request) bool {
	return len(r.attempts) < c.settings.Limits.MaxAttempts && r.class.Idempotency.RepeatableAnywhere() &&
		c.now+units.Duration(float64(r.expectedWork)) <= r.Deadline && !c.isWorthless(r)
}
