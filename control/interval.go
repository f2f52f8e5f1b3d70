package control

import (
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/units"
	"wheatlane/control/workload"
)

const (
	controlInterval    = time.Second             // between two runs of the regulators
	maxRegularInterval = controlInterval * 3 / 2 // a stall made a longer one irregular
)

// runInterval runs once an interval: measurements go to the regulators, whose targets the optimizer sets.
func (c *Controller) runInterval(elapsed time.Duration) {
	c.updateFleet()
	c.slowdowns.UpdateBest(c.endpoints.healthySlowdowns())
	regular := elapsed < maxRegularInterval
	pool := c.endpoints.pool
	measured := c.workload.CloseInterval(workload.Interval{
		Elapsed: elapsed, Pooled: pool != nil, HoldShare: pool != nil && c.underPressure(pool),
	})
	c.shares.CloseInterval(measured, regular)
	c.price.Decay()
	c.moveLimits(regular)
}

// moveLimits moves the concurrency limits toward a service time that leaves the tightest class time to wait.
func (c *Controller) moveLimits(regular bool) {
	tightest := c.classes.tightest
	demand := c.workload.MeanDemand()
	share, minThreads := c.workload.TrafficShare(), 0
	if c.endpoints.pool == nil {
		share, minThreads = max(1/units.Fraction(c.settings.Brokers), share), c.classes.maxThreads
	}
	for _, e := range c.endpoints.queueOwners() {
		e.concurrency.CloseInterval(concurrency.Interval{
			Regular: regular, Objective: tightest.LatencyObjective, Wait: tightest.Wait.Mean(),
			Cores: e.cores, MemoryMB: e.memoryMB, Share: share, MinThreads: minThreads,
			RequestThreads: demand.Threads, RequestMB: demand.MemoryMB,
			UnderPressure: c.underPressure(e),
			Load:          e.load.Load(), Slowdown: e.worstSlowdown(&c.slowdowns),
		})
	}
}
