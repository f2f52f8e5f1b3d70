package control

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/control/workload"
)

// expectedServiceTime is the service time expected of a request on an engine.
func (c *Controller) expectedServiceTime(request *request, engine *engine) units.Seconds {
	unloaded := request.expectedWork.OnThreads(request.class.Threads)
	return unloaded * units.Seconds(engine.estimatedSlowdown(&c.slowdowns).Ratio())
}

// likelyServiceTime corrects that by what the request's class takes over what is expected of all.
func (c *Controller) likelyServiceTime(request *request, engine *engine) time.Duration {
	return request.class.ServiceTime.Typical(c.expectedServiceTime(request, engine))
}

// learnFromAnswer takes what an answer shows of its class and its engine.
func (c *Controller) learnFromAnswer(attempt *attempt, end AttemptEnded) {
	request, class, engine := attempt.request, attempt.request.class, attempt.engine
	took := workload.MeasuredServiceTime(end.Duration)
	answer := workload.Answer{
		ServiceTime: took, Threads: class.Threads,
		EngineSlowdown: engine.estimatedSlowdown(&c.slowdowns),
		EstimatedWork:  request.EstimatedWork, EstimatedMemoryMB: request.EstimatedMemoryMB,
	}
	if c.settings.ReportsCost {
		answer.Work, answer.MemoryMB = end.Work, end.MemoryMB
	}
	slowdown := class.Cost.Observe(answer)
	class.ServiceTime.Observe(took, c.expectedServiceTime(request, engine))
	class.Traffic.Answered(c.now - request.receivedAt)
	engine.observeSlowdown(&c.slowdowns, slowdown, c.now)
	engine.queueOwner.concurrency.RecordAnswer(float64(took / units.SecondsOf(class.LatencyObjective)))
}
