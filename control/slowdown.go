package control

import (
	"time"

	"wheatlane/control/slowdown"
	"wheatlane/control/units"
)

// estimatedSlowdown is an engine's slowdown over the best one, as its answers show it.
func (c *Controller) estimatedSlowdown(e *engine) units.LogRatio {
	if e.pooled() {
		return c.slowdowns.EstimatedInPool(&e.slowdown, &e.queueOwner.slowdown, e.health.Answers())
	}
	return c.slowdowns.Estimated(&e.slowdown)
}

// slowdown is an engine's slowdown, from answers or, if worse, from the age of what is in flight.
func (c *Controller) slowdown(e *engine) units.LogRatio {
	return e.slowdown.OrOverdue(c.estimatedSlowdown(e))
}

// observeSlowdown takes what an answer shows of its engine's slowdown.
func (c *Controller) observeSlowdown(e *engine, sample units.LogRatio) {
	if e.pooled() {
		c.slowdowns.ObserveInPool(&e.slowdown, sample, e.health.Answers())
	}
	c.slowdowns.Observe(&e.queueOwner.slowdown, sample, c.now)
}

// healthySlowdowns are the slowdowns of the engines that are healthy.
func (s *endpointSet) healthySlowdowns() []*slowdown.Engine {
	var healthy []*slowdown.Engine
	for _, e := range s.queueOwners() {
		if e.member.Listed() && !e.health.Ejected() {
			healthy = append(healthy, &e.slowdown)
		}
	}
	return healthy
}

// decayEvidence lets what was seen of engines count for less as it ages, once a tick.
func (c *Controller) decayEvidence() {
	c.outliers.DecayFleet()
	for _, e := range c.endpoints.all {
		e.health.Decay()
	}
	for _, e := range c.endpoints.queueOwners() {
		e.updateOverdue(c.now)
		c.slowdowns.Recover(&e.slowdown, c.now)
	}
}

// updateOverdue follows the age of what is in flight.
func (e *engine) updateOverdue(now time.Duration) {
	attempts := make([]slowdown.InFlight, 0, len(e.attempts))
	for _, a := range e.attempts {
		if !a.released {
			attempts = append(attempts, slowdown.InFlight{
				SentAt: a.sentAt, ExpectedWork: a.request.expectedWork,
				Threads: a.request.class.Threads,
			})
		}
	}
	e.slowdown.SetInFlight(attempts, now)
}
