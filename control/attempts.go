package control

import (
	"math"

	"wheatlane/control/overdue"
	"wheatlane/control/units"
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
	c.slowStart.RecordSend(e.slowStartInput(), &e.sentInSlowStart, k.Cost.MeanWork(), c.now)
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
	c.startTimer(overdueAfter, attemptOverdue{a})
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
		c.outliers.Recovered(&e.health, a.lossConfidence)
	}
	if end.Status == TimedOut && !c.settings.Limits.Cancellation && !a.released {
		c.startTimer(c.now-a.sentAt, endedAttemptStopped{a}) // it may still run: as long again, by its age
	} else {
		a.releaseThreads()
	}
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

// retry enqueues a request again, elsewhere, while there is time, unless its attempt may still run on an
// engine under pressure: more would be harmful there.
func (c *Controller) retry(a *attempt, status Status) {
	r := a.request
	stillRuns := status == TimedOut && !c.settings.Limits.Cancellation
	tooLate := r.Deadline-c.now < minRetryBatches*c.settings.MinBatchInterval || r.isWorthless(c.now)
	if tooLate || stillRuns && !a.engine.health.Ejected() && c.underPressure(a.engine) {
		c.rejectOrFail(r)
	} else {
		c.enqueue(r, a.engine)
	}
}

// attemptProgress takes a progress report. An attempt that is a runaway is cancelled, where that is possible.
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
	spent, progress := units.SecondsOf(c.now-a.sentAt), units.Fraction(report.Value)
	usual := c.expectedServiceTime(a.request, a.engine)
	if c.settings.Limits.Cancellation && overdue.IsRunaway(spent, progress, usual) {
		c.hedgeOrCancel(a)
	}
}
