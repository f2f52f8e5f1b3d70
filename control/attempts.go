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
	request         *request
	number          int
	engine          *engine
	sentAt          time.Duration
	inFlight        bool
	mayHaveRun      bool
	cancelled       bool           // its cancellation was requested
	presumedLost    bool           // its response is no longer expected
	lossConfidence  units.Fraction // probability that the response is lost, if presumedLost
	threadsReleased bool           // its threads no longer count against the concurrency limit
	lastProgressAt  time.Duration  // time of the last progress report
	overdueTimer    uint64         // token of its latest attemptOverdue
}

// releaseThreads stops counting the attempt's threads against the concurrency limit. Only the first call has
// an effect.
func (a *attempt) releaseThreads() {
	if !a.threadsReleased {
		a.threadsReleased = true
		a.engine.releaseThreads(a.request.class.Threads)
	}
}

// cancel marks the attempt as cancelled and returns the action that cancels it.
func (a *attempt) cancel() CancelAttempt {
	a.cancelled = true
	return CancelAttempt{RequestID: a.request.ID, Number: a.number}
}

// sendAttempt sends a request's next attempt to an engine: a first attempt, a retry or a hedged request.
func (c *Controller) sendAttempt(request *request, engine *engine) {
	c.setAttemptOptions(request, engine)
	if len(request.attempts) > 0 {
		c.retryBudget.RetrySent(c.now)
	} else {
		request.class.Wait.Observe(c.now - request.receivedAt)
	}
	work := request.class.Cost.MeanWork()
	c.slowStart.RecordSend(engine.slowStartInput(), &engine.sentInSlowStart, work, c.now)
	attempt := request.addAttempt(engine, c.now)
	overdueAfter := c.attemptTimeout(request, engine)
	send := SendAttempt{RequestID: request.ID, Engine: engine.ID, OverdueAfter: overdueAfter}
	if engine.health.Ejected() {
		engine.health.RecordHalfOpenProbe(c.now, c.ejectionBackoff())
		send.Timeout = overdue.HalfOpenTimeout(overdueAfter, request.Deadline-c.now)
	}
	c.emit(send)
	attempt.overdueTimer = c.startTimer(overdueAfter, attemptOverdue{attempt})
}

// setAttemptOptions sets the options of a request's next attempt if they differ from those set last.
func (c *Controller) setAttemptOptions(request *request, engine *engine) {
	options := c.attemptOptions.For(attemptoptions.Attempt{
		NeededMB:          request.class.Cost.MemoryMB(request.EstimatedMemoryMB),
		EngineMB:          engine.memoryMB,
		HighestValueClass: request.classIndex() == c.workload.Summary().HighestValueClass,
	})
	if options.GrantMB != 0 || options.Priority != request.priority {
		request.priority = options.Priority
		c.emit(SetAttemptOptions{
			RequestID: request.ID, GrantMB: options.GrantMB, Priority: options.Priority,
		})
	}
}

// handleAttemptEnded records the end of an attempt and, while the request is open, retries or ends it.
func (c *Controller) handleAttemptEnded(end AttemptEnded) {
	attempt := c.requests.attemptInFlight(end.RequestID, end.Number)
	if attempt == nil {
		return
	}
	request, engine := attempt.request, attempt.engine
	attempt.inFlight = false
	engine.removeAttempt(attempt)
	if attempt.presumedLost && end.Status == OK {
		c.outliers.RevertLoss(&engine.health, attempt.lossConfidence)
	}
	if end.Status == TimedOut && !c.settings.Limits.Cancellation && !attempt.threadsReleased {
		// The attempt may still run on the engine: its threads are released at twice its present age.
		c.startTimer(c.now-attempt.sentAt, endedAttemptStopped{attempt})
	} else {
		attempt.releaseThreads()
	}
	attempt.mayHaveRun = end.Status.MayHaveRun()
	if request.keyQueue != nil && end.Status.mayStillRun() {
		request.keyQueue.CoolDownUntil(c.now + c.settings.Rules.KeyCooldown)
	}
	c.recordLoadReport(engine, end.Report)
	if !end.SharedCause && (!attempt.presumedLost || end.Status != TimedOut) {
		c.recordOutcome(engine, end.Status)
	}
	if end.Status == OK {
		c.observeResponse(attempt, end)
		if request.class.BlockedByDataSetLock {
			engine.dataSetLocks.MarkUnlocked(request.DataSet)
		}
	}
	if end.RequestClosed && !request.closed {
		request.class.Abandonment.ClientWaited()
		c.closeRequest(request)
	}
	if request.closed {
		c.removeIfFinished(request)
	} else if !request.hasAttemptInFlight() {
		c.retryIfWorthwhile(attempt, end.Status)
	}
}

// retryIfWorthwhile enqueues a request again after an attempt ended, if a retry is worthwhile, and else ends
// the request. The retry avoids the same engine unless no other is eligible or the request was deferred
// (enqueueDeferred).
func (c *Controller) retryIfWorthwhile(attempt *attempt, status Status) {
	retries := c.retryPolicy.ShouldRetry(attempt.request.retryInput(c.now), retry.EndedAttempt{
		StillRuns:           status == TimedOut && !c.settings.Limits.Cancellation,
		EngineEjected:       attempt.engine.health.Ejected(),
		EngineUnderPressure: c.underPressure(attempt.engine),
	})
	if retries {
		c.enqueue(attempt.request, attempt.engine)
	} else {
		c.rejectOrFail(attempt.request)
	}
}

// handleAttemptProgress records a progress report. A runaway attempt is cancelled where cancellation is
// supported.
func (c *Controller) handleAttemptProgress(report AttemptProgress) {
	attempt := c.requests.attemptInFlight(report.RequestID, report.Number)
	if attempt == nil {
		return
	}
	attempt.lastProgressAt = c.now
	attempt.engine.health.RecordResponse(c.now)
	if report.Kind != ProgressFraction {
		return
	}
	spent, progress := units.SecondsOf(c.now-attempt.sentAt), units.Fraction(report.Value)
	usual := c.expectedServiceTime(attempt.request, attempt.engine)
	if c.settings.Limits.Cancellation && overdue.IsRunaway(spent, progress, usual) {
		c.hedgeOrCancel(attempt)
	}
}
