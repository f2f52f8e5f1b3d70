package control

import (
	"math"
)

// Tuned values of attempts and retries.
const (
	minPriority       = 1 // of engines that heed priorities
	maxPriority       = 3
	minRetryBatches   = 4 // batch intervals before its deadline from which a request is not retried
	halfOpenTimeSpare = 2 // a half-open probe times out if there are so many times its usual time left
)

// sendAttempt sends a request's next attempt to an engine, as a first attempt, a retry or a hedged request.
func (c *Controller) sendAttempt(r *request, e *engine) {
	k := r.class
	c.setAttemptOptions(r, e)
	if len(r.attempts) > 0 {
		c.retries.RetrySent(c.now)
	} else {
		k.Wait.Observe(c.now - r.receivedAt)
	}
	if c.inSlowStart(e) {
		e.sentInSlowStart.Add(c.now, k.Cost.MeanWork())
	}
	a := r.addAttempt(e, c.now)
	if e.health.Ejected() {
		e.health.ProbeSent(c.now, c.ejectionBackoff())
	}
	// Only a half-open probe times out early, to be retried: work that is cut off is lost.
	overdueAfter := c.attemptTimeout(r, e)
	send := SendAttempt{RequestID: r.ID, Engine: e.ID, OverdueAfter: overdueAfter}
	if e.health.Ejected() && halfOpenTimeSpare*overdueAfter < r.Deadline-c.now {
		send.Timeout = overdueAfter
	}
	c.emit(send)
	c.startTimer(overdueAfter, func() { c.checkOverdue(a) })
}

// setAttemptOptions sets memory and priority where engines heed them.
func (c *Controller) setAttemptOptions(r *request, e *engine) {
	options := SetAttemptOptions{RequestID: r.ID, Priority: minPriority}
	if c.settings.MemoryGrants && c.settings.ReportsCost && r.EstimatedMemoryMB > 0 {
		needed := r.class.Cost.MemoryMB(r.EstimatedMemoryMB)
		options.GrantMB = math.Ceil(min(needed, float64(c.settings.MaxGrantFraction)*e.memoryMB))
	}
	if c.settings.Priorities && r.classIndex == c.workload.Summary().HighestValueClass {
		options.Priority = maxPriority
	}
	if options.GrantMB != 0 || options.Priority != r.priority {
		r.priority = options.Priority
		c.emit(options)
	}
}

// attemptEnded takes the end of an attempt.
func (c *Controller) attemptEnded(end AttemptEnded) {
	a := c.requests.attemptInFlight(end.RequestID, end.Number)
	if a == nil {
		return
	}
	r, e := a.request, a.engine
	a.inFlight = false
	e.removeAttempt(a)
	if a.presumedLost && end.Status == OK {
		c.recoverLoss(e, a.lossConfidence)
	}
	c.releaseEnded(a, end.Status)
	a.mayHaveRun = end.Status.MayHaveRun()
	if r.keyQueue != nil && end.Status.mayStillRun() {
		r.keyQueue.CoolDownUntil(c.now + c.settings.Rules.KeyCooldown)
	}
	c.loadReported(e, end.Report)
	if !end.SharedCause && (!a.presumedLost || end.Status != TimedOut) {
		c.recordOutcome(e, end.Status)
	}
	if end.Status == OK {
		c.learnFromAnswer(a, end)
		if r.class.BlockedByDataSetLock {
			e.dataSetLocks.Release(r.DataSet)
		}
	}
	if end.RequestClosed && !r.closed {
		r.class.Abandonment.ClientStayed()
		c.closeRequest(r)
	}
	if r.closed {
		c.removeIfOver(r)
	} else if !r.hasAttemptInFlight() {
		c.retry(a, end.Status)
	}
}

// releaseEnded counts an ended attempt no more against the concurrency limit. One that timed out and cannot
// be cancelled may still run: as long again, by its age.
func (c *Controller) releaseEnded(a *attempt, status Status) {
	if a.released {
		return
	}
	if status == TimedOut && !c.settings.Limits.Cancellation {
		c.startTimer(c.now-a.sentAt, func() { a.engine.releaseThreads(a.request.class.Threads) })
	} else {
		a.engine.releaseThreads(a.request.class.Threads)
	}
}

// retry enqueues a request again, elsewhere, while there is time, unless its attempt may still run on an
// engine under pressure: more would be harmful there.
func (c *Controller) retry(a *attempt, status Status) {
	r := a.request
	stillRuns := status == TimedOut && !c.settings.Limits.Cancellation
	tooLate := r.Deadline-c.now < minRetryBatches*c.settings.MinBatchInterval || c.isWorthless(r)
	if tooLate || stillRuns && !a.engine.health.Ejected() && c.underPressure(a.engine) {
		c.rejectOrFail(r)
	} else {
		c.enqueue(r, a.engine)
	}
}

// isWorthless says whether an answer earns nothing any more.
func (c *Controller) isWorthless(r *request) bool {
	return r.class.LateWeight == 0 && c.now > r.objectiveAt
}

// attemptProgress takes a progress report. Little progress for much time is a runaway: it is cancelled where
// a fresh attempt should end sooner.
func (c *Controller) attemptProgress(report AttemptProgress) {
	a := c.requests.attemptInFlight(report.RequestID, report.Number)
	if a == nil {
		return
	}
	a.lastProgressAt = c.now
	a.engine.health.Responded(c.now)
	if report.Kind != ProgressFraction {
		return
	}
	spent, usual := (c.now - a.sentAt).Seconds(), float64(c.expectedServiceTime(a.request, a.engine))
	left := spent * (1 - report.Value) / max(report.Value, minProgress)
	if c.settings.Limits.Cancellation && left > runawayFactor*usual {
		c.hedgeOrCancel(a)
	}
}
