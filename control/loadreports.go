package control

import (
	"cmp"
	"slices"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/internal/estimate"
)

const (
	loadGain        = 0.5 // weight of a report in an engine's load
	poolLoadGain    = 0.1 // weight of one engine's report in the pool's load
	loadReportDecay = 5.0 // seconds in which a report loses most of its weight
)

// probeLoad asks an engine for its load.
func (c *Controller) probeLoad(e *engine) {
	e.probedAt = c.now
	c.emit(ProbeLoad{e.ID})
}

// probeEnded takes the answer to a load probe.
func (c *Controller) probeEnded(result ProbeResult) {
	if e := c.endpoints.byID[result.Engine]; e != nil && result.Status == OK {
		e.lastResponseAt = c.now
		c.loadReported(e, result.Report)
	}
}

// loadReported takes a load report: the busiest of the shares, or what is in flight over the concurrency
// limit.
func (c *Controller) loadReported(e *engine, report []float64) {
	if len(report) == 0 || len(report) != len(c.settings.ReportFields) {
		return
	}
	load := 0.0
	demand := c.workload.MeanDemand()
	for i, field := range c.settings.ReportFields {
		switch field {
		case "util", "x1", "x0":
			load = max(load, report[i])
		case "inflight":
			byThreads := report[i] * demand.Threads / (concurrency.MaxThreadsPerCore * e.cores)
			load = max(load, byThreads, report[i]*demand.MemoryMB/e.memoryMB)
		}
	}
	if c.now-e.loadReportedAt > controlInterval {
		e.load = load
	}
	e.load = estimate.Toward(e.load, load, loadGain)
	e.loadReportedAt = c.now
	if pool := e.queueOwner; e.pooled() && !c.settings.Limits.Gossip {
		pool.load = estimate.Toward(pool.load, load, poolLoadGain)
		pool.loadReportedAt = c.now
	}
}

// updatePoolLoad sets the pool's load to what a thread at its engines meets: the mean of their loads weighed
// by themselves, as crowded engines are no better off for others that are empty. By a plain mean half of a
// fleet's requests were sent as if there was no pressure, while single engines held from 1 to over 80
// threads.
func (c *Controller) updatePoolLoad() {
	pool := c.endpoints.pool
	if pool == nil || !c.settings.Limits.Gossip {
		return
	}
	var loads estimate.SelfWeighted
	youngest := time.Duration(0)
	for _, e := range c.endpoints.all {
		if e.hasLoadReport(c.now, seconds(loadReportDecay)) {
			loads.Add(e.load)
			youngest = max(youngest, e.loadReportedAt)
		}
	}
	if load, ok := loads.Mean(); ok {
		pool.load, pool.loadReportedAt = load, youngest
	}
}

// recentLoadReports returns the load reports of engines in service no older than an age, the youngest first.
func (c *Controller) recentLoadReports(maxAge time.Duration) []LoadReport {
	var reports []LoadReport
	for _, e := range c.endpoints.all {
		if e.hasLoadReport(c.now, maxAge) {
			age := c.now - e.loadReportedAt
			reports = append(reports, LoadReport{Engine: e.gossipID, Load: e.load, Age: age})
		}
	}
	slices.SortStableFunc(reports, func(a, b LoadReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports
}
