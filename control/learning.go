package control

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/control/workload"
)

// expectedServiceTime is the service time expected of a request on an engine.
func (c *Controller) expectedServiceTime(r *request, e *engine) units.Seconds {
	unloaded := r.expectedWork.OnThreads(r.class.Threads)
	return unloaded * units.Seconds(e.estimatedSlowdown(&c.slowdowns).Ratio())
}

// likelyServiceTime corrects that by what the request's class takes over what is expected of all.
func (c *Controller) likelyServiceTime(r *request, e *engine) time.Duration {
	return r.class.ServiceTime.Likely(c.expectedServiceTime(r, e))
}

// learnFromAnswer takes what an answer shows of its class and its engine.
func (c *Controller) learnFromAnswer(a *attempt, end AttemptEnded) {
	r, e := a.request, a.engine
	took := workload.Measured(end.Duration)
	answer := workload.Answer{
		ServiceTime: took, Threads: r.class.Threads, EngineSlowdown: e.estimatedSlowdown(&c.slowdowns),
		EstimatedWork: r.EstimatedWork, EstimatedMemoryMB: r.EstimatedMemoryMB,
	}
	if c.settings.ReportsCost {
		answer.Work, answer.MemoryMB = end.Work, end.MemoryMB
	}
	slowdown := r.class.Cost.Observe(answer)
	r.class.ServiceTime.Observe(took, c.expectedServiceTime(r, e))
	r.class.Traffic.Answered(c.now - r.receivedAt)
	e.observeSlowdown(&c.slowdowns, slowdown, c.now)
	e.queueOwner.concurrency.RecordAnswer(float64(took / units.SecondsOf(r.class.LatencyObjective)))
}
