package control

import (
	"wheatlane/control/datasetlock"
	"wheatlane/control/selection"
)

// selectEngine returns the eligible engine with the best score, or nil; one to avoid if there is no other.
func (c *Controller) selectEngine(r *request, avoid *engine) *engine {
	if e := c.bestEngine(r, avoid); e != nil {
		return e
	}
	return c.bestEngine(r, nil)
}

func (c *Controller) bestEngine(r *request, avoid *engine) *engine {
	var best selection.Best[*engine]
	for _, e := range c.endpoints.all {
		if e == avoid || e.health.AtCapacity(c.now) || !c.mayAttempt(r, e) {
			continue
		}
		score := c.score(e, r) + c.tieBreak(e)
		if e.health.Ejected() && !c.endpoints.majorityFaulty {
			if !c.mayProbeHalfOpen(e, r) {
				continue
			}
			score += c.selection.HalfOpenBonus
		}
		best.Offer(e, score)
	}
	return best.Candidate()
}

// tieBreak is what chance adds to an engine's score. Brokers that have their turn at an engine that warms up
// choose it for all.
func (c *Controller) tieBreak(e *engine) selection.Score {
	if !e.pooled() {
		return c.selection.TieBreak(c.rng)
	}
	weight := c.slowStart.FleetWeight(e.slowStartInput(), c.slowStartDemand(), c.now)
	return c.selection.Noise(c.rng, weight)
}

// score is an engine's score for a request.
func (c *Controller) score(e *engine, r *request) selection.Score {
	role := datasetlock.RoleOf(r.class.HoldsDataSetLock, r.class.BlockedByDataSetLock)
	candidate := selection.Candidate{
		ThreadsInFlight:   e.concurrency.InFlight(),
		ThreadsQueued:     e.queue.Threads(),
		ConcurrencyLimit:  e.concurrency.Limit(),
		SlowStartFraction: c.slowStart.Fraction(e.slowStartInput(), c.now),
		Slowdown:          e.worstSlowdown(&c.slowdowns),
		FailureRate:       e.health.FailureRate(),
		LossRate:          c.outliers.LossRate(&e.health),
		Load:              e.load.IfRecent(c.now),
		OtherZone:         e.Zone != c.settings.Zone,
		DataSetLocked:     role != datasetlock.Unaffected && e.dataSetLocked(c.now, r.DataSet),
		DataSetRank:       datasetlock.Rank(e.idHash, r.DataSet),
		Role:              role,
	}
	if e.pooled() {
		candidate.Load = e.load.InPool(&e.queueOwner.load, c.now)
	} else { // in a pool, an engine that answered of late is better than an untried one
		candidate.ExpectedLossRate = min(candidate.LossRate, c.outliers.FleetLossRate())
	}
	return c.selection.Score(&candidate)
}
