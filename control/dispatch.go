package control

import (
	"wheatlane/control/admission"
	"wheatlane/control/concurrency"
)

// dispatch sends queued requests in start-tag order while the concurrency limit allows it.
func (c *Controller) dispatch(engine *engine) {
	withinLimit := func(first *request) bool { return c.withinConcurrencyLimit(engine, first) }
	for {
		request, ok := engine.queue.Head(nil)
		if !ok {
			return
		}
		serviceTime := c.likelyServiceTime(request, engine)
		tooLate := admission.CannotMeetObjective(0, serviceTime, request.objectiveDeadline-c.now)
		if tooLate && len(request.attempts) == 0 && c.underPressure(engine) {
			c.price.Raise()
			c.rejectOrFail(request)
			continue
		}
		request, ok = engine.queue.Head(withinLimit)
		if !ok {
			return
		}
		c.popFrom(engine, request)
		switch {
		case engine == c.endpoints.pool:
			if !c.probeCandidates(request) {
				c.dispatchToBestCandidate(request)
			}
		case c.mayAttempt(request, engine) && !engine.health.AtCapacity(c.now):
			c.sendAttempt(request, engine)
		default:
			c.requests.deferToNextTick(request)
		}
	}
}

// withinConcurrencyLimit reports whether a request, the next one of its class, may be sent to an engine. The
// class with the highest priority weight per thread-second may use the whole limit.
func (c *Controller) withinConcurrencyLimit(engine *engine, request *request) bool {
	classIndex := request.classIndex()
	share := c.shares.Share(classIndex)
	if classIndex == c.workload.Summary().HighestValueClass {
		share = 1
	}
	return engine.concurrency.Allows(concurrency.Request{
		Threads:       request.class.Threads,
		ClassShare:    share,
		WidestThreads: c.classes.maxThreads,
		UnderPressure: c.underPressure(engine),
	}, func() int { return c.threadsOfClass(engine, request.class.slot.current()) })
}

// underPressure reports whether an engine, or the pool, receives more work than it completes. For an engine
// of a pool only its load and whether it is at capacity count: age ratios and the number of responses, which
// the slowdown depends on, are recorded for the pool. Slowdowns don't count where engines report their load
// but not the work of their responses, because the load is more precise then.
func (c *Controller) underPressure(engine *engine) bool {
	slowdownsCount := c.settings.EnginesReportCost || !c.settings.EnginesReportLoad
	// The last report stays valid while an attempt is in flight, because its response includes a new one.
	loadKnown := engine.concurrency.ThreadsInFlight() > 0 || engine.load.Age(c.now) < controlInterval
	return c.pressure.UnderPressure(concurrency.Signals{
		AtCapacity:    engine.health.AtCapacity(c.now),
		AgeRatio:      engine.slowdown.AgeRatio(),
		LoadKnown:     loadKnown,
		Load:          engine.load.Load(),
		SlowdownKnown: slowdownsCount && engine.slowdown.Trusted(),
		Slowdown:      engine.estimatedSlowdown(&c.slowdowns),
	})
}
