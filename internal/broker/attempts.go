package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/internal/invariant"
)

// settleDelay is the time after which a cancel that was sent has reached its engine.
const settleDelay = 10 * time.Millisecond

// attempt is one attempt of a request.
type attempt struct {
	id             AttemptID
	request        *request
	engine         string
	startedAt      time.Duration
	inFlight       bool
	mayHaveRun     bool
	answeredClient bool           // its result was the client's answer
	cancelStatus   control.Status // the status that its cancel ends it with; OK: not cancelled
	result         *result        // nil before the first page
}

func (a *attempt) cancelled() bool { return a.cancelStatus != control.OK }

// awaitsFirstPage reports whether an attempt is in flight, not cancelled and without any part of a result.
func (a *attempt) awaitsFirstPage() bool { return a.inFlight && !a.cancelled() && a.result == nil }

// startAttempt starts an attempt for the decision module, if mayStart allows it. Else it ends the attempt at once.
func (b *Broker) startAttempt(now time.Duration, send control.SendAttempt) {
	r := b.requests.byModuleID(send.RequestID)
	if r == nil {
		return
	}
	a := &attempt{
		id:         AttemptID{r.id, len(r.attempts)},
		request:    r,
		engine:     send.Engine,
		startedAt:  now,
		inFlight:   true,
		mayHaveRun: true,
	}
	until := r.deadline
	if send.Timeout > 0 {
		until = min(until, now+send.Timeout)
	}
	allowed := until > now && b.mayStart(r, send.Engine)
	r.attempts = append(r.attempts, a)
	if !allowed {
		b.endAttempt(now, a, control.AttemptEnded{Status: control.NeverSent})
		return
	}
	endpoint, _ := b.endpoints.Endpoint(send.Engine) // mayStart has found it
	b.meter.AttemptStarted(r.Class)
	b.trace(now, r, Transition{State: AttemptStartedState, Attempt: a.id.Number, Engine: endpoint.ID})
	b.emit(StartAttempt{
		Attempt:        a.id,
		Engine:         endpoint.ID,
		Addr:           endpoint.Addr,
		RequestID:      r.RequestID,
		Class:          r.Class,
		IdempotencyKey: r.IdempotencyKey,
		Timeout:        until - now,
		OverdueAfter:   send.OverdueAfter,
		GrantMB:        r.grantMB,
		Priority:       r.priority,
		Body:           r.Body,
	})
	b.timers.Set(until, attemptTimedOut{a})
}

// mayStart is the one guard of all attempts, first ones, retries and hedged requests. The request or the engine may
// have ended since the decision module was notified last; a repeat that must not be is a fault of the module, which is
// prevented and reported.
func (b *Broker) mayStart(r *request, engine string) bool {
	start := invariant.Start{
		RequestEnded:     r.closed,
		FinalAnswersSent: b.shutdown.finalAnswersSent,
		EndpointReady:    b.endpoints.InService(engine),
	}
	if _, broken := start.Broken(); broken {
		return false
	}
	repeat := invariant.Repeat{
		NonIdempotent: r.class.Idempotency.Kind == idempotency.NonIdempotent,
		Hedging:       b.hedging,
		InFlight:      r.hasAttemptInFlight(),
		MayHaveRun:    r.mayHaveRun(),
	}
	if rule, broken := repeat.Broken(); broken {
		b.violated(rule, r.session, r.RequestID)
		return false
	}
	return true
}

// setAttemptOptions sets the memory grant of a request's next attempt, and the priority of it and of those in
// flight.
func (b *Broker) setAttemptOptions(r *request, options control.SetAttemptOptions) {
	changed := options.Priority != r.priority
	r.grantMB, r.priority = options.GrantMB, options.Priority
	if !changed {
		return
	}
	for _, a := range r.attempts {
		if a.awaitsFirstPage() {
			b.emit(SetPriority{a.id, options.Priority})
		}
	}
}

// cancelAttempt cancels an attempt. The attempt stays in flight until the cancel was sent to its engine:
// until then, the next request of its order key must wait.
func (b *Broker) cancelAttempt(a *attempt, status control.Status) {
	if !a.inFlight || a.cancelled() {
		return
	}
	a.cancelStatus = status
	b.emit(CancelAttempt{a.id})
}

// attemptEnded handles the end of an attempt without a result.
func (b *Broker) attemptEnded(now time.Duration, ev AttemptEnded) {
	a := b.requests.attemptInFlight(ev.Attempt)
	if a == nil {
		return
	}
	status := endStatus(ev.Status, a.cancelStatus, a.result != nil)
	if mustSettle(status, a.request.OrderKey != "", b.hedging) {
		end := control.AttemptEnded{Status: status, Report: ev.Report}
		b.timers.Set(now+settleDelay, attemptSettled{a, end})
		return
	}
	b.endAttempt(now, a, control.AttemptEnded{Status: status, Report: ev.Report, SharedCause: ev.SharedCause})
}

// endStatus is the status for the decision module of an attempt whose end was reported with another one. It is that
// of its cancel if it was cancelled (control.OK: it was not). Once a page of its result was received, the attempt has
// run: BUSY or VOID for a further page proves nothing else.
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

// mustSettle reports whether an attempt that has ended counts as in flight for another settleDelay. Its cancel was
// sent, or its connection ended, but its engine may not know that yet: the next request of its order key, or the next
// attempt where hedging is forbidden, could reach another engine earlier.
func mustSettle(status control.Status, ordered, hedging bool) bool {
	switch {
	case isCancel(status):
		return ordered || !hedging
	case status == control.ConnectionReset:
		return !hedging
	}
	return false
}

// endAttempt ends an attempt and hands its end to the decision module.
func (b *Broker) endAttempt(now time.Duration, a *attempt, end control.AttemptEnded) {
	a.inFlight = false
	a.result = nil
	a.mayHaveRun = end.Status.MayHaveRun()
	end.RequestID, end.Number, end.Engine = a.request.moduleID, a.id.Number, a.engine
	end.Duration, end.RequestClosed = now-a.startedAt, a.request.closed
	b.meter.AttemptEnded(AttemptSummary{
		Class:    a.request.Class,
		Engine:   a.engine,
		Status:   end.Status,
		Duration: end.Duration,
		Wasted:   a.mayHaveRun && !a.answeredClient,
	})
	b.trace(now, a.request, Transition{
		State: AttemptEndedState, Attempt: a.id.Number, Engine: a.engine, Status: end.Status,
	})
	b.batch.add(end)
	b.requests.dropIfDone(a.request)
}
