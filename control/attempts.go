package control

import (
	"time"

	"wheatlane/control/attemptoptions"
	"wheatlane/control/overdue"
	"wheatlane/control/retry"
	"wheatlane/control/units"
)

// attempt is one attempt of a request.
type attempt struct {
	request        *request
	number         int
	engine         *engine
	sentAt         time.Duration
	inFlight       bool
	mayHaveRun     bool
	cancelled      bool           // its cancellation was asked for
	presumedLost   bool           // its answer is not waited for
	lossConfidence units.Fraction // of the presumption
	released       bool           // its threads count no more against the concurrency limit
	lastProgressAt time.Duration  // of its last progress report
}

// releaseThreads counts the attempt's threads no more against the concurrency limit, once.
func (a *attempt) releaseThreads() {
	if !a.released {
		a.released = true
		a.engine.releaseThreads(a.request.class.Threads)
	}
}

// cancel returns the action that cancels the attempt.
func (a *attempt) cancel() CancelAttempt {
	a.cancelled = true
	return CancelAttempt{RequestID: a.request.ID, Number: a.number}
}

// sendAttempt sends a request's next attempt to an engine, as a first attempt, a retry or a hedged request.
func (c *Controller) sendAttempt(r *request, e *engine) {
	c.setAttemptOptions(r, e)
	if len(r.attempts) > 0 {
		c.retries.RetrySent(c.now)
	} else {
		r.class.Wait.Observe(c.now - r.receivedAt)
	}
	c.slowStart.RecordSend(e.slowStartInput(), &e.sentInSlowStart, r.class.Cost.MeanWork(), c.now)
	a := r.addAttempt(e, c.now)
	send := SendAttempt{RequestID: r.ID, Engine: e.ID, OverdueAfter: c.attemptTimeout(r, e)}
	if e.health.Ejected() {
		e.health.ProbeSent(c.now, c.ejectionBackoff())
		send.Timeout = overdue.ProbeTimeout(send.OverdueAfter, r.Deadline-c.now)
	}
	c.emit(send)
	c.startTimer(send.OverdueAfter, attemptOverdue{a})
}

// setAttemptOptions sets the options of a request's next attempt where they differ from those set last.
func (c *Controller) setAttemptOptions(r *request, e *engine) {
	options := c.attemptOptions.For(attemptoptions.Attempt{
		NeededMB:          r.class.Cost.MemoryMB(r.EstimatedMemoryMB),
		EngineMB:          e.memoryMB,
		HighestValueClass: r.classIndex == c.workload.Summary().HighestValueClass,
	})
	if options.GrantMB != 0 || options.Priority != r.priority {
		r.priority = options.Priority
		c.emit(SetAttemptOptions{RequestID: r.ID, GrantMB: options.GrantMB, Priority: options.Priority})
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

// retry enqueues a request again, elsewhere, if that is worth it after an attempt that ended.
func (c *Controller) retry(a *attempt, status Status) {
	retries := c.retryPolicy.Retries(a.request.retryInput(c.now), retry.Ended{
		StillRuns:           status == TimedOut && !c.settings.Limits.Cancellation,
		EngineEjected:       a.engine.health.Ejected(),
		EngineUnderPressure: c.underPressure(a.engine),
	})
	if retries {
		c.enqueue(a.request, a.engine)
	} else {
		c.rejectOrFail(a.request)
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
