package control

import (
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/units"
	"wheatlane/control/workload"
)

const (
	controlInterval    = time.Second             // time between two runs of the regulators
	maxRegularInterval = 1500 * time.Millisecond // a longer interval contains a process pause
)

// runInterval closes a control interval: it updates the estimates of the workload and adjusts the classes'
// shares and the concurrency limits to them.
func (c *Controller) runInterval(elapsed time.Duration) {
	c.refreshEndpoints()
	c.slowdowns.UpdateBest(c.endpoints.healthySlowdowns())
	regular := elapsed < maxRegularInterval
	pool := c.endpoints.pool
	measured := c.workload.CloseInterval(workload.Interval{
		Elapsed: elapsed, Pooled: pool != nil, HoldShare: pool != nil && c.underPressure(pool),
	})
	c.shares.CloseInterval(measured, regular)
	if indexes, changed := c.classes.closeInterval(); changed {
		c.moveClasses(indexes)
	}
	c.price.Decay()
	c.updateConcurrencyLimits(regular)
}

// updateConcurrencyLimits adjusts the concurrency limits. Where engines are not pooled, this broker may use
// at least an equal share of each engine and one request of the widest class, however little traffic it has.
func (c *Controller) updateConcurrencyLimits(regular bool) {
	tightest := c.classes.shortestObjective
	demand := c.workload.MeanDemand()
	share, minLimit := c.workload.TrafficShare(), 0
	if c.endpoints.pool == nil {
		share, minLimit = max(1/units.Fraction(c.settings.Brokers), share), c.classes.maxThreads
	}
	for _, engine := range c.endpoints.queueOwners() {
		engine.concurrency.CloseInterval(concurrency.Interval{
			Regular: regular, Objective: tightest.LatencyObjective, Wait: tightest.Wait.Mean(),
			Cores: engine.cores, MemoryMB: engine.memoryMB,
			BrokerShare: share, MinLimit: minLimit,
			RequestThreads: demand.Threads, RequestMemoryMB: demand.MemoryMB,
			UnderPressure: c.underPressure(engine), Load: engine.load.Load(),
			Slowdown: engine.worstSlowdown(&c.slowdowns),
		})
	}
}
