package control

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"
)

// Tuned values of the regulators and the optimizer.
const (
	controlInterval       = time.Second // between two runs of the regulators
	initialThreadsPerCore = 1.5         // concurrency limit at the start
	minThreadsPerCore     = 1.0         // least concurrency limit
	maxThreadsPerCore     = 1.7         // largest one: beyond it engines lose more than they gain
	minServiceTarget      = 0.5         // least target of service time, in latency objectives
	minShare              = 0.05        // no class falls under this share
	backoffLoad           = 1.2         // reported load at which a concurrency limit backs off
	backoffSlowdown       = 1.6         // log of slowdown at which it does
	poolBackoffSlowdown   = 0.8         // the same for a pool, whose mean moves less
	backoffDecrease       = 0.8         // factor of the limit in each interval under such pressure
	backoffIncrease       = 1.1         // factor in each interval without
	optimizerSteps        = 50          // the optimizer hands out the shares in so many steps at most
	shareTolerance        = 1e-9        // shares and utilities closer than this are equal
	minLimitFactor        = 0.15        // part of the limit that the backoff always leaves
)

// runInterval runs once an interval: measurements go to the regulators, whose targets the optimizer sets.
func (c *Controller) runInterval(elapsed time.Duration) {
	c.updateFleet()
	c.updateBestSlowdown()
	steady := elapsed < controlInterval*3/2 // a stall breaks the fit's constant interval
	c.workload.intervals++
	if share, known := c.workload.measureTenants(elapsed); known {
		c.updateTrafficShare(share)
	}
	outputs, seen, answered := c.workload.measureClasses(elapsed)
	c.shares.observe(outputs, seen, steady)
	if answered > 0 && steady {
		c.moveShares(answered)
	}
	c.price.Decay()
	c.moveLimits(steady)
}

// moveShares moves the classes' shares toward those that the optimizer wants.
func (c *Controller) moveShares(answered float64) {
	s := &c.shares
	s.weights = s.regulator.Decide(s.regulator.Predict(c.optimizeShares(answered)), minShare, 1)
	floats.Scale(1/floats.Sum(s.weights), s.weights)
	s.regulator.U = s.weights
}

// moveLimits moves the concurrency limits toward a service time that leaves the tightest class time to wait.
func (c *Controller) moveLimits(steady bool) {
	tightest := c.workload.tightest
	target := max(minServiceTarget, 1-tightest.meanWait/tightest.LatencyObjective.Seconds())
	threads, memoryMB := c.workload.meanDemand()
	part := max(1/float64(c.settings.Brokers), c.workload.trafficShare)
	if c.endpoints.pool != nil {
		part = c.workload.trafficShare
	}
	for _, e := range c.endpoints.queueOwners() {
		if e.answered > 0 && steady {
			e.limitFit.Observe([]float64{e.relativeTimeSum / e.answered}, []bool{true})
			e.limitFit.Decide([]float64{target}, minThreadsPerCore, maxThreadsPerCore)
		} else {
			e.limitFit.Skip(nil)
		}
		e.relativeTimeSum, e.answered = 0, 0
		c.backOffLimit(e)
		e.limit = e.limitFit.U[0] * e.cores * part * e.limitFactor
		if memoryMB > 0 { // no more threads than there is memory for
			e.limit = min(e.limit, e.memoryMB*part*e.limitFactor/memoryMB*threads)
		}
		if c.endpoints.pool == nil {
			e.limit = max(e.limit, c.workload.maxThreads)
		}
	}
}

// backOffLimit lowers a limit that leaves the engine overloaded, as in a surge of retries: this broker's part
// was taken too large then. It raises it again little by little.
func (c *Controller) backOffLimit(e *engine) {
	slowdown := backoffSlowdown
	if e == c.endpoints.pool {
		slowdown = poolBackoffSlowdown
	}
	if c.underPressure(e) && (e.load > backoffLoad || c.slowdown(e) > slowdown) {
		e.limitFactor = max(minLimitFactor, e.limitFactor*backoffDecrease)
	} else {
		e.limitFactor = min(1, e.limitFactor*backoffIncrease)
	}
}

// optimizeShares hands out shares greedily: each step goes to the class whose utility on the fitted model
// gains most for the share (the paper's figure 4).
func (c *Controller) optimizeShares(answered float64) []float64 {
	n := len(c.workload.classes)
	shares, utilities := make([]float64, n), slices.Repeat([]float64{math.Inf(-1)}, n)
	unit := math.Ceil(answered/optimizerSteps) / answered
	for left := 1.0; left > shareTolerance; {
		best, bestStep, bestGain := 0, left, math.Inf(-1)
		for i := range n {
			step := c.gainingStep(i, shares, utilities[i], unit, left)
			gain := (c.utility(i, shares, step) - max(utilities[i], 0)) / step
			if gain > bestGain {
				best, bestStep, bestGain = i, step, gain
			}
		}
		shares[best] += bestStep
		utilities[best] = c.utility(best, shares, 0)
		left -= bestStep
	}
	return shares
}

// gainingStep is the least number of units of share that raises a class's utility; one unit if none does.
func (c *Controller) gainingStep(class int, shares []float64, utility, unit, left float64) float64 {
	step := unit
	for step <= left+shareTolerance && c.utility(class, shares, step) <= utility+shareTolerance {
		step += unit
	}
	if step > left+shareTolerance {
		step = min(unit, left)
	}
	return step
}

// utility is the priority weight that a class earns a second by the fitted model, at a share raised by a
// step.
func (c *Controller) utility(class int, shares []float64, step float64) float64 {
	shares[class] += step
	inverseLatency := c.shares.regulator.Row(2*class, shares)
	throughput := c.shares.regulator.Row(2*class+1, shares)
	shares[class] -= step
	k := c.workload.classes[class]
	onTime := min(1, max(0, inverseLatency))
	return k.PriorityWeight * k.arrivalRate * min(1, max(0, throughput)) *
		(k.LateWeight + (1-k.LateWeight)*onTime*onTime)
}
