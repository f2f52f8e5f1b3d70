package control

import (
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/loadreport"
)

// recordLoadReport records a load report of an engine. Without gossip, it also updates the pool's load.
func (c *Controller) recordLoadReport(engine *engine, report loadreport.Report) {
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

// updatePoolLoad updates the pool's load from the known loads of its engines, including gossiped ones.
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
