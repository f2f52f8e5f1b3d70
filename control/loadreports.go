package control

import (
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/loadreport"
)

// loadReported takes a load report of an engine. Without gossip, the pool's load is learned from it as well.
func (c *Controller) loadReported(engine *engine, report loadreport.Report) {
	if !report.Reported {
		return
	}
	load := report.Load(
		loadreport.Demand(c.workload.MeanDemand()),
		loadreport.Capacity{
			Threads:  concurrency.CapacityThreadsPerCore * engine.cores,
			MemoryMB: engine.memoryMB,
		},
	)
	engine.load.Observe(load, c.now)
	if engine.pooled() && !c.settings.Limits.Gossip {
		engine.queueOwner.load.ObservePoolMember(load, c.now)
	}
}

// updatePoolLoad follows the pool's load by those of its engines, as gossip brings them.
func (s *endpointSet) updatePoolLoad(now time.Duration) {
	if s.pool == nil {
		return
	}
	var known loadreport.PoolMean
	for _, engine := range s.all {
		if engine.loadKnown(now) {
			known.Add(&engine.load)
		}
	}
	s.pool.load.ObserveMean(known)
}
