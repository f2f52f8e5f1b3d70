package control

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/control/workload"
)

// expectedServiceTime returns the expected service time of a request on an engine.
func (c *Controller) expectedServiceTime(request *request, engine *engine) units.Seconds {
	unloaded := request.expectedWork.OnThreads(request.class.Threads)
	return unloaded * units.Seconds(engine.estimatedSlowdown(&c.slowdowns).Ratio())
}

// likelyServiceTime returns the expected service time, corrected by the ratio of measured to expected service
// times of the request's class.
func (c *Controller) likelyServiceTime(request *request, engine *engine) time.Duration {
	return request.class.ServiceTime.Typical(c.expectedServiceTime(request, engine))
}

// observeResponse updates the estimates of the class and of the engine from a response.
func (c *Controller) observeResponse(attempt *attempt, end AttemptEnded) {
	request, class, engine := attempt.request, attempt.request.class, attempt.engine
	serviceTime := workload.MeasuredServiceTime(end.Duration)
	answer := workload.Answer{
		ServiceTime: serviceTime, Threads: class.Threads,
		EngineSlowdown: engine.estimatedSlowdown(&c.slowdowns),
		EstimatedWork:  request.EstimatedWork, EstimatedMemoryMB: request.EstimatedMemoryMB,
	}
	if c.settings.EnginesReportCost {
		answer.Work, answer.MemoryMB = end.Work, end.MemoryMB
	}
	slowdown := class.Cost.Observe(answer)
	class.ServiceTime.Observe(serviceTime, c.expectedServiceTime(request, engine))
	class.Traffic.Answered(c.now - request.receivedAt)
	engine.observeSlowdown(&c.slowdowns, slowdown, c.now)
	objective := units.SecondsOf(class.LatencyObjective)
	engine.queueOwner.concurrency.RecordAnswer(float64(serviceTime / objective))
}
