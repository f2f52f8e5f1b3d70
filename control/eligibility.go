package control

import (
	"wheatlane/control/eligibility"
	"wheatlane/control/idempotency"
)

// mayAttempt reports whether an attempt of a request may be sent to an engine now: every send passes the
// rules of package eligibility. bestEngine and dispatch check whether an engine is ejected or at capacity.
func (c *Controller) mayAttempt(request *request, engine *engine) bool {
	selector := c.newSelector(request)
	return !selector.forbiddenEverywhere() && selector.allows(engine)
}

// isExhausted reports whether a request has had an attempt, has none in flight and can't have another.
func (c *Controller) isExhausted(request *request) bool {
	if len(request.attempts) == 0 || request.hasAttemptInFlight() {
		return false
	}
	input := c.eligibilityInput(request)
	return input.Exhausted()
}

// eligibilityInput returns the request state that the eligibility rules evaluate if an attempt is sent now.
func (c *Controller) eligibilityInput(request *request) eligibility.Request {
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

// location returns the zone and the cell that determine which engines detect duplicates of its requests.
func (e *engine) location() idempotency.Location {
	return idempotency.Location{Zone: e.Zone, Cell: e.Cell}
}
