package control

import (
	"time"

	"wheatlane/control/slowdown"
	"wheatlane/control/units"
)

// estimatedSlowdown is the engine's slowdown over the best one, as its answers show it.
func (e *engine) estimatedSlowdown(estimator *slowdown.Estimator) units.LogRatio {
	if e.pooled() {
		return estimator.EstimatedInPool(&e.slowdown, &e.queueOwner.slowdown, e.health.Answers())
	}
	return estimator.Estimated(&e.slowdown)
}

// worstSlowdown is the engine's slowdown, from answers or, if worse, from the age of what is in flight.
func (e *engine) worstSlowdown(estimator *slowdown.Estimator) units.LogRatio {
	return e.slowdown.OrOverdue(e.estimatedSlowdown(estimator))
}

// observeSlowdown takes what an answer of the engine shows of its slowdown.
func (e *engine) observeSlowdown(estimator *slowdown.Estimator, sample units.LogRatio, now time.Duration) {
	if e.pooled() {
		estimator.ObserveInPool(&e.slowdown, sample, e.health.Answers())
	}
	estimator.Observe(&e.queueOwner.slowdown, sample, now)
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

// decay lets what was seen of engines count for less as it ages, once a tick.
func (s *endpointSet) decay(estimator *slowdown.Estimator, now time.Duration) {
	for _, e := range s.all {
		e.health.Decay()
	}
	for _, e := range s.queueOwners() {
		e.updateOverdue(now)
		estimator.Recover(&e.slowdown, now)
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
