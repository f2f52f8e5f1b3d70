package control

import (
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/units"
)

const (
	controlInterval    = time.Second             // between two runs of the regulators
	maxRegularInterval = controlInterval * 3 / 2 // a stall made a longer one irregular
	minServiceTarget   = 0.5                     // smallest target of service time, in latency objectives
)

// runInterval runs once an interval: measurements go to the regulators, whose targets the optimizer sets.
func (c *Controller) runInterval(elapsed time.Duration) {
	c.updateFleet()
	c.slowdowns.UpdateBest(c.endpoints.healthySlowdowns())
	regular := elapsed < maxRegularInterval
	c.workload.intervals++
	if share, known := c.workload.measureTenants(elapsed); known {
		c.updateTrafficShare(share)
	}
	c.shares.CloseInterval(c.workload.measureClasses(elapsed), regular)
	c.price.Decay()
	c.moveLimits(regular)
}

// moveLimits moves the concurrency limits toward a service time that leaves the tightest class time to wait.
func (c *Controller) moveLimits(regular bool) {
	tightest := c.workload.tightest
	target := max(minServiceTarget, 1-tightest.meanWait/tightest.LatencyObjective.Seconds())
	threads, memoryMB := c.workload.meanDemand()
	share, minThreads := max(1/float64(c.settings.Brokers), c.workload.trafficShare), c.workload.maxThreads
	if c.endpoints.pool != nil {
		share, minThreads = c.workload.trafficShare, 0
	}
	for _, e := range c.endpoints.queueOwners() {
		e.concurrency.CloseInterval(concurrency.Interval{
			Regular: regular, TargetTime: target, Cores: e.cores, MemoryMB: e.memoryMB,
			Share: units.Fraction(share), RequestThreads: threads, RequestMB: memoryMB, MinThreads: minThreads,
			UnderPressure: c.underPressure(e),
			Load:          float64(e.load.Load()), Slowdown: c.slowdown(e),
		})
	}
}
