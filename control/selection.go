package control

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/eligibility"
	"wheatlane/control/selection"
	"wheatlane/control/slowstart"
	"wheatlane/control/units"
)

// selector compares engines for an attempt of a request that is sent now. It holds what they have in common.
type selector struct {
	controller      *Controller
	request         *request
	facts           eligibility.Request // what the rules need to know of the request
	meanWork        units.ThreadSeconds // of a request of its class
	slowStartDemand slowstart.Demand
	lockRole        datasetlock.Role
	fleetLossRate   units.Fraction
}

func (c *Controller) selectorFor(request *request) selector {
	class := request.class
	return selector{
		controller:      c,
		request:         request,
		facts:           c.eligibilityOf(request),
		meanWork:        class.Cost.MeanWork(),
		slowStartDemand: c.slowStartDemand(),
		lockRole:        datasetlock.RoleOf(class.HoldsDataSetLock, class.BlockedByDataSetLock),
		fleetLossRate:   c.outliers.FleetLossRate(),
	}
}

// selectEngine returns the eligible engine with the best score, or nil; one to avoid if there is no other.
func (c *Controller) selectEngine(request *request, avoid *engine) *engine {
	selector := c.selectorFor(request)
	return selector.selectEngine(avoid)
}

// selectEngine is selectEngine of the controller for the selector's request.
func (s *selector) selectEngine(avoid *engine) *engine {
	if s.forbidden() {
		return nil
	}
	if engine := s.bestEngine(avoid); engine != nil {
		return engine
	}
	return s.bestEngine(nil)
}

// forbidden reports whether a rule forbids the attempt at every engine.
func (s *selector) forbidden() bool { return s.facts.Check() != eligibility.Eligible }

// allows reports whether no rule forbids the attempt at this engine, given that none does at every engine.
func (s *selector) allows(engine *engine) bool {
	c := s.controller
	withinBudget := c.slowStart.Allows(
		engine.slowStartInput(), &engine.sentInSlowStart, s.slowStartDemand, s.meanWork, c.now)
	return s.facts.CheckAt(eligibility.Engine{
		// A draining engine gets nothing new. The deployment's DrainGraceNs is for attempts that were
		// decided before the drain (enginepool.Config.DrainGrace).
		Ready:                 engine.member.AcceptsRequests(),
		Location:              engine.location(),
		Kind:                  engine.Kind,
		WithinSlowStartBudget: withinBudget,
	}) == eligibility.Eligible
}

// bestEngine returns the eligible engine with the best score but for one to avoid, or nil. Engines at
// capacity are left out. So are ejected ones that may not get this request as a half-open probe, unless more
// than half of the ready engines are ejected.
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

// tieBreak is what chance adds to an engine's score. Brokers that have their turn at an engine that warms up
// choose it for all.
func (s *selector) tieBreak(engine *engine) selection.Score {
	c := s.controller
	if !engine.pooled() {
		return c.selection.TieBreak(c.rng)
	}
	preference := c.slowStart.FleetPreference(engine.slowStartInput(), s.slowStartDemand, c.now)
	return c.selection.Noise(c.rng, preference)
}

// score is an engine's score for the request.
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
	} else { // in a pool, an engine that answered is better than an untried one
		candidate.Load = engine.load.RecentLoad(c.now)
		candidate.ExpectedLossRate = min(candidate.LossRate, s.fleetLossRate)
	}
	return c.selection.Score(&candidate)
}
