package control

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/selection"
)

// selectEngine returns the eligible engine with the best score, or nil; one to avoid if there is no other.
func (c *Controller) selectEngine(request *request, avoid *engine) *engine {
	if engine := c.bestEngine(request, avoid); engine != nil {
		return engine
	}
	return c.bestEngine(request, nil)
}

func (c *Controller) bestEngine(request *request, avoid *engine) *engine {
	var best selection.Best[*engine]
	eligible := c.eligibilityOf(request)
	for _, engine := range c.endpoints.all {
		if engine == avoid || engine.health.AtCapacity(c.now) ||
			!c.isEligible(&eligible, request.class, engine) {
			continue
		}
		score := c.score(engine, request) + c.tieBreak(engine)
		if engine.health.Ejected() && !c.endpoints.majorityFaulty {
			if !c.mayProbeHalfOpen(engine, request) {
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
func (c *Controller) tieBreak(engine *engine) selection.Score {
	if !engine.pooled() {
		return c.selection.TieBreak(c.rng)
	}
	preference := c.slowStart.FleetPreference(engine.slowStartInput(), c.slowStartDemand(), c.now)
	return c.selection.Noise(c.rng, preference)
}

// score is an engine's score for a request.
func (c *Controller) score(engine *engine, request *request) selection.Score {
	role := datasetlock.RoleOf(request.class.HoldsDataSetLock, request.class.BlockedByDataSetLock)
	locked := role != datasetlock.Unaffected && engine.dataSetLocked(c.now, request.DataSet)
	candidate := selection.Candidate{
		ThreadsInFlight:   engine.concurrency.InFlight(),
		ThreadsQueued:     engine.queue.Threads(),
		ConcurrencyLimit:  engine.concurrency.Limit(),
		SlowStartFraction: c.slowStart.Fraction(engine.slowStartInput(), c.now),
		Slowdown:          engine.worstSlowdown(&c.slowdowns),
		FailureRate:       engine.health.FailureRate(),
		LossRate:          c.outliers.LossRate(&engine.health),
		Load:              engine.load.IfRecent(c.now),
		OtherZone:         engine.Zone != c.settings.Zone,
		DataSetLocked:     locked,
		DataSetRank:       datasetlock.Rank(engine.idHash, request.DataSet),
		Role:              role,
	}
	if engine.pooled() {
		candidate.Load = engine.load.InPool(&engine.queueOwner.load, c.now)
	} else { // in a pool, an engine that answered is better than an untried one
		candidate.ExpectedLossRate = min(candidate.LossRate, c.outliers.FleetLossRate())
	}
	return c.selection.Score(&candidate)
}
