package control

import (
	"slices"
	"time"

	"wheatlane/control/idempotency"
)

// mayAttempt says whether an attempt of a request may go to an engine now. Every send passes it; it holds the
// seven rules of the deployment, in their order.
func (c *Controller) mayAttempt(r *request, e *engine) bool {
	return !r.closed && !r.responseStarted && c.now < r.Deadline &&
		len(r.attempts) < c.settings.Limits.MaxAttempts &&
		c.cannotRunTwice(r, e) &&
		e.listed && e.State == Ready && // stricter than the drain's grace period
		(!c.inSlowStart(e) || c.withinSlowStartBudget(e, r.class)) &&
		r.isTurnOfKey(c.now) &&
		isPlacementAllowed(r.class, e) &&
		(len(r.attempts) == 0 || c.retries.Allows(c.now))
}

// cannotRunTwice reports whether an attempt at an engine leaves the request's effect happening once at most.
func (c *Controller) cannotRunTwice(r *request, e *engine) bool {
	at := idempotency.Location{Zone: e.Zone, Cell: e.Cell}
	for _, a := range r.attempts {
		if a.inFlight && !c.settings.Limits.Hedging {
			return false
		}
		if !r.class.Idempotency.AllowsRetry(c.earlierAttempt(a), at) {
			return false
		}
	}
	return true
}

// earlierAttempt is an attempt as it will stand when the next one leaves the broker, at the latest.
func (c *Controller) earlierAttempt(a *attempt) idempotency.Attempt {
	latestSend := c.now + c.settings.MinBatchInterval + c.settings.MaxSendDelay
	return idempotency.Attempt{
		Location: idempotency.Location{Zone: a.engine.Zone, Cell: a.engine.Cell},
		Age:      latestSend - a.sentAt, MayHaveRun: a.mayHaveRun,
	}
}

// retryForbidden reports whether an attempt allows no other one of its request, at whichever engine.
func (c *Controller) retryForbidden(a *attempt) bool {
	return a.request.class.Idempotency.ForbidsRetry(c.earlierAttempt(a))
}

// attemptsExhausted says whether a request can have no further attempt, whatever becomes of the engines.
func (c *Controller) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= c.settings.Limits.MaxAttempts ||
		slices.ContainsFunc(r.attempts, c.retryForbidden)
}

// isTurnOfKey reports whether a request is not ordered or the first of its key, past the key's cooldown.
func (r *request) isTurnOfKey(now time.Duration) bool {
	return r.keyQueue == nil || r.keyQueue.IsTurn(r, len(r.attempts) > 0, now)
}

func isPlacementAllowed(k *class, e *engine) bool {
	return (len(k.AllowedZones) == 0 || slices.Contains(k.AllowedZones, e.Zone)) &&
		(len(k.AllowedKinds) == 0 || slices.Contains(k.AllowedKinds, e.Kind))
}
