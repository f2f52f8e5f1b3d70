package control

import (
	"wheatlane/control/eligibility"
	"wheatlane/control/idempotency"
)

// mayAttempt reports whether an attempt of a request may go to an engine now. Every send passes the rules of
// package eligibility. Whether an engine is ejected or at capacity is checked elsewhere (bestEngine,
// dispatch).
func (c *Controller) mayAttempt(request *request, engine *engine) bool {
	selector := c.selectorFor(request)
	return !selector.forbidden() && selector.allows(engine)
}

// isExhausted reports whether a request has had an attempt, has none in flight and can have no further one.
func (c *Controller) isExhausted(request *request) bool {
	if len(request.attempts) == 0 || request.hasAttemptInFlight() {
		return false
	}
	facts := c.eligibilityOf(request)
	return facts.Exhausted()
}

// eligibilityOf is what the rules need to know of a request, if an attempt is sent now.
func (c *Controller) eligibilityOf(request *request) eligibility.Request {
	latestSend := c.now + c.settings.MinBatchInterval + c.settings.MaxSendDelay
	attempted, queue := len(request.attempts) > 0, request.keyQueue
	return eligibility.Request{
		Closed:            request.closed,
		ResponseStarted:   request.responseStarted,
		TimeLeft:          request.Deadline - c.now,
		MaxAttempts:       c.settings.Limits.MaxAttempts,
		Attempts:          request.earlierAttempts(latestSend),
		AttemptInFlight:   request.hasAttemptInFlight(),
		HedgingAllowed:    c.settings.Limits.Hedging,
		Idempotency:       request.class.Idempotency,
		OrderKeyAvailable: queue == nil || queue.MaySend(request, attempted, c.now),
		AllowedZones:      request.class.AllowedZones,
		AllowedKinds:      request.class.AllowedKinds,
		WithinRetryBudget: !attempted || c.retryBudget.Allows(c.now),
	}
}

// location is where the engine stands among the scopes of duplicate detection.
func (e *engine) location() idempotency.Location {
	return idempotency.Location{Zone: e.Zone, Cell: e.Cell}
}
