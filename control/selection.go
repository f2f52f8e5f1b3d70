package control

import (
	"math"
	"slices"

	"wheatlane/control/concurrency"
)

// Tuned values of engine selection. Penalties are in parts of a concurrency limit, as scores are.
const (
	failurePenalty     = 3.0   // for each failure or loss an attempt
	slowdownPenalty    = 0.3   // for each unit of the log of slowdown
	dataSetLockPenalty = 1.5   // what a lock blocks is late for sure
	dataSetRankPenalty = 0.5   // keeps locks away from what they block
	crossZonePenalty   = 0.05  // for another zone
	halfOpenBonus      = 100.0 // a half-open probe that is due comes before everything
	tieBreakScale      = 0.6   // difference of scores that makes a factor e in choice
	tieBreakJitter     = 0.02  // where engines are not pooled: it only breaks ties
	probeCount         = 3     // engines probed for a request
	probeWaitBatches   = 4     // batch intervals that a request waits for probes
)

// poolsEngines says whether all engines share one queue and one concurrency limit: where this broker's part
// of an engine's limit is less than one request. One request of each broker would exceed the limits then, and
// answers are too few to judge each engine by. A request's engine is selected when it leaves the pool.
func (c *Controller) poolsEngines() bool {
	cores := 0.0
	for _, kind := range c.settings.EngineKinds {
		cores = max(cores, kind.Cores)
	}
	return concurrency.MaxThreadsPerCore*cores < c.classes.maxThreads*float64(c.settings.Brokers)
}

// selectEngine returns the eligible engine with the best score, or nil; one to avoid if there is no other.
func (c *Controller) selectEngine(r *request, avoid *engine) *engine {
	if e := c.bestEngine(r, avoid); e != nil {
		return e
	}
	return c.bestEngine(r, nil)
}

func (c *Controller) bestEngine(r *request, avoid *engine) (best *engine) {
	bestScore := math.Inf(-1)
	for _, e := range c.endpoints.all {
		if e == avoid || e.atCapacity(c.now) || !c.mayAttempt(r, e) {
			continue
		}
		score := c.score(e, r) + c.tieBreak(e)
		if e.health.Ejected() && !c.endpoints.majorityFaulty {
			if !c.mayProbeHalfOpen(e, r) {
				continue
			}
			score += halfOpenBonus
		}
		if score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// tieBreak is what chance adds to a score. Where engines are pooled, many brokers know the same, and know it
// late: all would take the one empty engine. There it is Gumbel noise, so that engines are drawn with weights
// of exp(score/tieBreakScale); brokers that have their turn at an engine in slow start count it for all.
func (c *Controller) tieBreak(e *engine) float64 {
	if c.endpoints.pool == nil {
		return tieBreakJitter * c.rng.Float64()
	}
	gumbel := -math.Log(c.rng.ExpFloat64())
	if c.inSlowStart(e) {
		gumbel += math.Log(c.slowStart.FleetWeight(e.slowStartInput(), c.slowStartDemand(), c.now))
	}
	return tieBreakScale * gumbel
}

// score ranks engines for a request: the headroom under the limit, less what speaks against an engine.
func (c *Controller) score(e *engine, r *request) float64 {
	threads := float64(e.concurrency.InFlight()) + e.queue.Threads()
	score := 1 - threads/(e.concurrency.Limit()*c.slowStartFraction(e))
	score -= slowdownPenalty*float64(c.slowdown(e)) + failurePenalty*(float64(e.health.FailureRate())+c.lossRate(e))
	if !e.pooled() { // in a pool, an engine that answered of late is better than an untried one
		score += failurePenalty * min(c.lossRate(e), c.overallLossRate())
	}
	if e.pooled() {
		score -= float64(e.load.InPool(&e.queueOwner.load, c.now))
	} else {
		score -= float64(e.load.IfRecent(c.now))
	}
	if e.Zone != c.settings.Zone {
		score -= crossZonePenalty
	}
	k := r.class
	if (k.HoldsDataSetLock || k.BlockedByDataSetLock) && e.dataSetLocked(c.now, r.DataSet) {
		score -= dataSetLockPenalty
	}
	// All brokers rank engines alike: locks go to one end of the ranks, and what they block to the other.
	if rank := e.dataSetRank(r.DataSet); k.HoldsDataSetLock {
		score -= dataSetRankPenalty * rank
	} else if k.BlockedByDataSetLock {
		score -= dataSetRankPenalty * (1 - rank)
	}
	return score
}

// probeBeforeEnqueue asks a few engines for their load before a request that is more work than the mean is
// enqueued. It says whether the request waits for that.
func (c *Controller) probeBeforeEnqueue(r *request, avoid *engine) bool {
	heavy := r.class.Cost.MeanWork() > c.workload.Summary().MeanWork
	if !c.settings.Limits.LoadProbes || r.probed || !heavy || c.endpoints.pool != nil {
		return false
	}
	r.probed = true
	probed := false
	for n := 0; n < probeCount && len(c.endpoints.all) > 0; n++ {
		e := c.endpoints.all[c.rng.IntN(len(c.endpoints.all))]
		if e.listed && e.State == Ready && !e.health.Ejected() && !e.load.ProbedLately(c.now) {
			c.probeLoad(e)
			probed = true
		}
	}
	if probed {
		c.startTimer(probeWaitBatches*c.settings.MinBatchInterval, func() {
			if !r.closed {
				c.enqueue(r, avoid)
			}
		})
	}
	return probed
}

// probeCandidates draws a few engines for a request that may leave the pool (power of d choices) and probes
// them: what is known of their load is as old as a heavy request takes. It says whether the request waits for
// that; what is no more work than the mean goes at once.
func (c *Controller) probeCandidates(r *request) bool {
	k, probed := r.class, false
	r.candidates = nil
	if !c.settings.Limits.LoadProbes || k.Cost.MeanWork() <= c.workload.Summary().MeanWork {
		return false
	}
	for range probeCount {
		e := c.selectEngine(r, r.avoid)
		if e == nil || slices.Contains(r.candidates, e) {
			continue
		}
		r.candidates = append(r.candidates, e)
		if !e.load.Fresh(c.now) {
			c.probeLoad(e)
			probed = true
		}
	}
	if !probed {
		return false
	}
	k.awaitingProbes++ // its threads are taken meanwhile
	c.endpoints.pool.concurrency.Acquire(k.Threads)
	c.startTimer(probeWaitBatches*c.settings.MinBatchInterval, func() {
		k.awaitingProbes--
		c.endpoints.pool.concurrency.Release(k.Threads)
		if !r.closed {
			c.dispatchToBestCandidate(r)
		}
	})
	return true
}

// dispatchToBestCandidate sends a request that leaves the pool to the best of its candidates or, without any
// that is still eligible, to an engine selected now.
func (c *Controller) dispatchToBestCandidate(r *request) {
	best, bestScore := (*engine)(nil), math.Inf(-1)
	for _, e := range r.candidates {
		score := c.score(e, r)
		if c.mayAttempt(r, e) && !e.atCapacity(c.now) && score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		best = c.selectEngine(r, r.avoid)
	}
	if best == nil {
		c.requests.waitForEngine(r)
		return
	}
	c.sendAttempt(r, best)
}
