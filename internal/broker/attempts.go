package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/internal/invariant"
)

// settleDelay is the maximum time that a sent cancel takes to reach its engine.
const settleDelay = 10 * time.Millisecond

// attempt is one attempt of a request.
type attempt struct {
	id             AttemptID
	request        *request
	engine         string
	startedAt      time.Duration
	inFlight       bool
	mayHaveRun     bool
	answeredClient bool           // the client got its result
	cancelStatus   control.Status // status with which a cancelled attempt ends; OK: not cancelled
	result         *result        // nil before the first page
	timeout        *eventTimer    // nil: not set
	pageTimeout    *eventTimer    // nil: not set
}

func (a *attempt) cancelled() bool { return a.cancelStatus != control.OK }

// awaitsFirstPage reports whether an attempt is in flight, not cancelled and without a result page.
func (a *attempt) awaitsFirstPage() bool { return a.inFlight && !a.cancelled() && a.result == nil }

// startAttempt starts an attempt that the decision module requested. If mayStart forbids the attempt or no time is
// left, the attempt ends immediately as never sent.
func (b *Broker) startAttempt(now time.Duration, send control.SendAttempt) {
	request := b.requests.byModuleID(send.RequestID)
	if request == nil {
		return
	}
	attempt := &attempt{
		id:         AttemptID{request.id, len(request.attempts)},
		request:    request,
		engine:     send.Engine,
		startedAt:  now,
		inFlight:   true,
		mayHaveRun: true,
	}
	until := request.deadline
	if send.Timeout > 0 {
		until = min(until, now+send.Timeout)
	}
	allowed := until > now && b.mayStart(request, send.Engine)
	request.attempts = append(request.attempts, attempt)
	if !allowed {
		b.endAttempt(now, attempt, control.AttemptEnded{Status: control.NeverSent})
		return
	}
	endpoint, _ := b.endpoints.Endpoint(send.Engine) // mayStart checked that it is in service
	b.meter.AttemptStarted(request.Class)
	b.trace(now, request, Transition{State: AttemptStartedState, Attempt: attempt.id.Number, Engine: endpoint.ID})
	b.emit(StartAttempt{
		Attempt:        attempt.id,
		Engine:         endpoint.ID,
		Addr:           endpoint.Addr,
		RequestID:      request.RequestID,
		Class:          request.Class,
		IdempotencyKey: request.IdempotencyKey,
		Timeout:        until - now,
		OverdueAfter:   send.OverdueAfter,
		GrantMB:        request.grantMB,
		Priority:       request.priority,
		Body:           request.Body,
	})
	attempt.timeout = b.timers.Set(until, attemptTimedOut{attempt})
}

// mayStart reports whether an attempt may start. It checks all first attempts, retries and hedged requests. It prevents
// an attempt if the request ended or the engine went out of service after the decision module's last batch. It also
// prevents a forbidden repeat, and reports it as a violation because it is a fault of the module.
func (b *Broker) mayStart(request *request, engine string) bool {
	start := invariant.AttemptStart{
		RequestEnded:      request.closed,
		FinalAnswersSent:  b.shutdown.finalAnswersSent,
		EndpointInService: b.endpoints.InService(engine),
	}
	if _, broken := start.ViolatedRule(); broken {
		return false
	}
	repeat := invariant.AttemptRepeat{
		NonIdempotent: request.class.Idempotency.Kind == idempotency.NonIdempotent,
		Hedging:       b.hedging,
		InFlight:      request.hasAttemptInFlight(),
		MayHaveRun:    request.mayHaveRun(),
	}
	if rule, broken := repeat.ViolatedRule(); broken {
		b.reportViolation(rule, request.session, request.RequestID)
		return false
	}
	return true
}

// setAttemptOptions sets the memory grant of a request's next attempt, and the priority of its next attempt and of
// those in flight.
func (b *Broker) setAttemptOptions(request *request, options control.SetAttemptOptions) {
	changed := options.Priority != request.priority
	request.grantMB, request.priority = options.GrantMB, options.Priority
	if !changed {
		return
	}
	for _, attempt := range request.attempts {
		if attempt.awaitsFirstPage() {
			b.emit(SetPriority{attempt.id, options.Priority})
		}
	}
}

// cancelAttempt cancels an attempt. The attempt remains in flight until the cancel was sent to its engine; the next
// request of its order key must wait until then.
func (b *Broker) cancelAttempt(attempt *attempt, status control.Status) {
	if !attempt.inFlight || attempt.cancelled() {
		return
	}
	attempt.cancelStatus = status
	b.emit(CancelAttempt{attempt.id})
}

// attemptEnded handles the end of an attempt without a complete result.
func (b *Broker) attemptEnded(now time.Duration, event AttemptEnded) {
	attempt := b.requests.attemptInFlight(event.Attempt)
	if attempt == nil {
		return
	}
	status := endStatus(event.Status, attempt.cancelStatus, attempt.result != nil)
	if mustSettle(status, attempt.request.OrderKey != "", b.hedging) {
		end := control.AttemptEnded{Status: status, Report: event.Report}
		b.timers.Set(now+settleDelay, attemptSettled{attempt, end})
		return
	}
	b.endAttempt(now, attempt, control.AttemptEnded{Status: status, Report: event.Report, SharedCause: event.SharedCause})
}

// endStatus returns the status with which the decision module is notified of an attempt's end. A cancelled attempt ends
// with cancelStatus (control.OK: not cancelled). Once a page was received, the attempt has run: any other end is then a
// failure, even if the engine responded to the request for another page with BUSY or VOID.
func endStatus(reported, cancelStatus control.Status, pageReceived bool) control.Status {
	status := reported
	if status == control.Cancelled && cancelStatus != control.OK {
		status = cancelStatus
	}
	if pageReceived && !isCancel(status) {
		status = control.Failed
	}
	return status
}

func isCancel(status control.Status) bool {
	return status == control.Cancelled || status == control.TimedOut
}

// mustSettle reports whether an attempt that has ended remains in flight for another settleDelay. Its cancel was sent
// or its connection ended, but its engine may not have been notified yet: the next request of its order key, or the
// next attempt if hedging is disabled, could reach another engine earlier.
func mustSettle(status control.Status, ordered, hedging bool) bool {
	switch {
	case isCancel(status):
		return ordered || !hedging
	case status == control.ConnectionReset:
		return !hedging
	}
	return false
}

// endAttempt ends an attempt and adds its end to the next batch of the decision module.
func (b *Broker) endAttempt(now time.Duration, attempt *attempt, end control.AttemptEnded) {
	attempt.inFlight = false
	attempt.timeout.Clear()
	attempt.pageTimeout.Clear()
	if attempt.result != nil {
		attempt.result = nil
		b.releasePages(now, attempt)
	}
	attempt.mayHaveRun = end.Status.MayHaveRun()
	end.RequestID, end.Number, end.Engine = attempt.request.moduleID, attempt.id.Number, attempt.engine
	end.Duration, end.RequestClosed = now-attempt.startedAt, attempt.request.closed
	b.meter.AttemptEnded(AttemptSummary{
		Class:    attempt.request.Class,
		Engine:   attempt.engine,
		Status:   end.Status,
		Duration: end.Duration,
		Wasted:   attempt.mayHaveRun && !attempt.answeredClient,
	})
	b.trace(now, attempt.request, Transition{
		State: AttemptEndedState, Attempt: attempt.id.Number, Engine: attempt.engine, Status: end.Status,
	})
	b.batch.add(end)
	b.requests.dropIfDone(attempt.request)
}
