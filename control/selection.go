package control

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/eligibility"
	"wheatlane/control/selection"
	"wheatlane/control/slowstart"
	"wheatlane/control/units"
)

// selector compares engines for an attempt of a request that is sent now. It holds the state that does not
// depend on the engine.
type selector struct {
	controller      *Controller
	request         *request
	ruleInput       eligibility.Request // request state that the eligibility rules evaluate
	meanWork        units.ThreadSeconds // mean work of a request of the class
	slowStartDemand slowstart.Demand
	lockRole        datasetlock.Role
	fleetLossRate   units.Fraction
}

func (c *Controller) newSelector(request *request) selector {
	class := request.class
	return selector{
		controller:      c,
		request:         request,
		ruleInput:       c.eligibilityInput(request),
		meanWork:        class.Cost.MeanWork(),
		slowStartDemand: c.slowStartDemand(),
		lockRole:        datasetlock.RoleOf(class.HoldsDataSetLock, class.BlockedByDataSetLock),
		fleetLossRate:   c.outliers.FleetLossRate(),
	}
}

// selectEngine returns the eligible engine with the best score, or nil if there is none. It returns the
// engine to avoid only if no other is eligible.
func (c *Controller) selectEngine(request *request, avoid *engine) *engine {
	selector := c.newSelector(request)
	return selector.selectEngine(avoid)
}

// selectEngine is like Controller.selectEngine for the selector's request.
func (s *selector) selectEngine(avoid *engine) *engine {
	if s.forbiddenEverywhere() {
		return nil
	}
	if engine := s.bestEngine(avoid); engine != nil {
		return engine
	}
	return s.bestEngine(nil)
}

// forbiddenEverywhere reports whether a rule that does not depend on the engine forbids the attempt.
func (s *selector) forbiddenEverywhere() bool { return s.ruleInput.Check() != eligibility.Eligible }

// allows reports whether the rules that depend on the engine allow the attempt there. The caller checks
// forbiddenEverywhere first.
func (s *selector) allows(engine *engine) bool {
	c := s.controller
	withinBudget := c.slowStart.Allows(
		engine.slowStartInput(), &engine.sentInSlowStart, s.slowStartDemand, s.meanWork, c.now)
	return s.ruleInput.CheckAt(eligibility.Engine{
		// A draining engine gets no new attempts. The grace period of a drain applies only to
		// attempts that were decided before the drain (enginepool.Config.DrainGrace).
		Ready:                 engine.member.AcceptsRequests(),
		Location:              engine.location(),
		Kind:                  engine.Kind,
		WithinSlowStartBudget: withinBudget,
	}) == eligibility.Eligible
}

// bestEngine returns the eligible engine with the best score other than the one to avoid, or nil if there is
// none. It skips engines at capacity and, unless more than half of the ready engines are ejected, ejected
// engines that may not get this request as a half-open probe.
func (s *selector) bestEngine(avoid *engine) *engine {
	c := s.controller
	var best selection.Best[*engine]
	for _, engine := range c.endpoints.all {
		if engine == avoid || engine.health.AtCapacity(c.now) || !s.allows(engine) {
			continue
		}
		score := s.score(engine) + s.tieBreak(engine)
		if engine.health.Ejected() && !c.endpoints.majorityEjected {
			if !c.mayProbeHalfOpen(engine, s.request) {
				continue
			}
			score += c.selection.HalfOpenBonus
		}
		best.Offer(engine, score)
	}
	return best.Candidate()
}

// tieBreak returns the random part of an engine's score. In a pool it includes the preference for an engine
// in slow start that brokers have during their slot, in which they use that engine on behalf of all brokers.
func (s *selector) tieBreak(engine *engine) selection.Score {
	c := s.controller
	if !engine.pooled() {
		return c.selection.TieBreak(c.rng)
	}
	preference := c.slowStart.FleetPreference(engine.slowStartInput(), s.slowStartDemand, c.now)
	return c.selection.Noise(c.rng, preference)
}

// score returns an engine's score for the request, without the random part.
func (s *selector) score(engine *engine) selection.Score {
	c := s.controller
	candidate := selection.Candidate{
		ThreadsInFlight:   engine.concurrency.ThreadsInFlight(),
		ThreadsQueued:     engine.queue.Threads(),
		ConcurrencyLimit:  engine.concurrency.Limit(),
		SlowStartFraction: c.slowStart.Fraction(engine.slowStartInput(), c.now),
		Slowdown:          engine.worstSlowdown(&c.slowdowns),
		FailureRate:       engine.health.FailureRate(),
		LossRate:          engine.health.LossRate(s.fleetLossRate),
		OtherZone:         engine.Zone != c.settings.Zone,
		Role:              s.lockRole,
	}
	if s.lockRole != datasetlock.Unaffected {
		candidate.DataSetLocked = engine.dataSetLocked(c.now, s.request.DataSet)
		candidate.DataSetRank = datasetlock.Rank(engine.idHash, s.request.DataSet)
	}
	if engine.pooled() {
		candidate.Load = engine.load.LoadInPool(&engine.queueOwner.load, c.now)
	} else { // only without a pool: in a pool, an engine that has responded is better than an untried one
		candidate.Load = engine.load.RecentLoad(c.now)
		candidate.ExpectedLossRate = min(candidate.LossRate, s.fleetLossRate)
	}
	return c.selection.Score(&candidate)
}
