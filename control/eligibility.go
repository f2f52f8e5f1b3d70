package control

import (
	"wheatlane/control/eligibility"
	"wheatlane/control/idempotency"
)

// mayAttempt reports whether an attempt of a request may go to an engine now. Every send passes it.
func (c *Controller) mayAttempt(r *request, e *engine) bool {
	request := c.eligibilityOf(r)
	return c.isEligible(&request, r.class, e)
}

// isEligible reports whether a request of a class may be sent to an engine now.
func (c *Controller) isEligible(request *eligibility.Request, k *class, e *engine) bool {
	return eligibility.Check(request, eligibility.Engine{
		Ready:           e.member.TakesRequests(), // stricter than the drain's grace period
		Location:        e.location(),
		Kind:            e.Kind,
		SlowStartBudget: c.withinSlowStartBudget(e, k),
	}) == eligibility.Eligible
}

// eligibilityOf is what the rules need to know of a request, if an attempt is sent now.
func (c *Controller) eligibilityOf(r *request) eligibility.Request {
	latestSend := c.now + c.settings.MinBatchInterval + c.settings.MaxSendDelay
	return eligibility.Request{
		Closed:          r.closed,
		ResponseStarted: r.responseStarted,
		TimeLeft:        r.Deadline - c.now,
		MaxAttempts:     c.settings.Limits.MaxAttempts,
		Attempts:        r.earlierAttempts(latestSend),
		AttemptInFlight: r.hasAttemptInFlight(),
		HedgingAllowed:  c.settings.Limits.Hedging,
		Idempotency:     r.class.Idempotency,
		TurnOfOrderKey:  r.keyQueue == nil || r.keyQueue.IsTurn(r, len(r.attempts) > 0, c.now),
		AllowedZones:    r.class.AllowedZones,
		AllowedKinds:    r.class.AllowedKinds,
		WithinBudget:    len(r.attempts) == 0 || c.retries.Allows(c.now),
	}
}

// location is where the engine stands among the scopes of duplicate detection.
func (e *engine) location() idempotency.Location {
	return idempotency.Location{Zone: e.Zone, Cell: e.Cell}
}
