package control

import (
	"time"

	"wheatlane/control/slowdown"
	"wheatlane/control/units"
)

// estimatedSlowdown returns the engine's slowdown relative to the fastest engine, estimated from responses.
func (e *engine) estimatedSlowdown(estimator *slowdown.Estimator) units.LogRatio {
	if e.pooled() {
		return estimator.SlowdownInPool(&e.slowdown, &e.queueOwner.slowdown, e.health.Outcomes())
	}
	return estimator.Slowdown(&e.slowdown)
}

// worstSlowdown returns the engine's slowdown estimated from responses or, if worse, from the age of its
// attempts in flight.
func (e *engine) worstSlowdown(estimator *slowdown.Estimator) units.LogRatio {
	return e.slowdown.AgeAdjusted(e.estimatedSlowdown(estimator))
}

// observeSlowdown adds a sample from a response to the engine's slowdown estimate.
func (e *engine) observeSlowdown(estimator *slowdown.Estimator, sample units.LogRatio, now time.Duration) {
	if e.pooled() {
		estimator.ObserveInPool(&e.slowdown, sample, e.health.Outcomes())
	}
	estimator.Observe(&e.queueOwner.slowdown, sample, now)
}

// healthySlowdowns returns the slowdowns of the queue owners that are listed and not ejected.
func (s *endpointSet) healthySlowdowns() []*slowdown.Engine {
	var healthy []*slowdown.Engine
	for _, engine := range s.queueOwners() {
		if engine.member.Listed() && !engine.health.Ejected() {
			healthy = append(healthy, &engine.slowdown)
		}
	}
	return healthy
}

// decayObservations reduces the weight of older observations of the engines. It is called once per tick.
func (s *endpointSet) decayObservations(estimator *slowdown.Estimator, now time.Duration) {
	for _, engine := range s.all {
		engine.health.Decay()
	}
	for _, engine := range s.queueOwners() {
		engine.updateAgeRatio(now)
		estimator.Recover(&engine.slowdown, now)
	}
}

// updateAgeRatio updates the age ratios of the engine's attempts in flight.
func (e *engine) updateAgeRatio(now time.Duration) {
	ratios := make([]float64, 0, len(e.attempts))
	for _, attempt := range e.attempts {
		if attempt.threadsReleased {
			continue
		}
		inFlight := slowdown.Attempt{
			SentAt: attempt.sentAt, ExpectedWork: attempt.request.expectedWork,
			Threads: attempt.request.class.Threads,
		}
		ratios = append(ratios, inFlight.AgeRatio(now))
	}
	e.slowdown.SetAgeRatios(ratios)
}
