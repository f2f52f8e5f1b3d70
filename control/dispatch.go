package control

import (
	"wheatlane/control/admission"
	"wheatlane/control/concurrency"
)

// dispatch sends waiting requests in start-tag order while the concurrency limit allows it.
func (c *Controller) dispatch(e *engine) {
	for {
		r, ok := e.queue.Head(nil)
		if !ok {
			return
		}
		tooLate := admission.CannotMeetObjective(0, c.likelyServiceTime(r, e), r.objectiveAt-c.now)
		if tooLate && len(r.attempts) == 0 && c.underPressure(e) {
			c.price.Raise()
			c.rejectOrFail(r)
			continue
		}
		r, ok = e.queue.Head(func(class int) bool { return c.withinConcurrencyLimit(e, class) })
		if !ok {
			return
		}
		c.popFrom(e, r)
		switch {
		case e == c.endpoints.pool:
			if !c.probeCandidates(r) {
				c.dispatchToBestCandidate(r)
			}
		case c.mayAttempt(r, e) && !e.health.AtCapacity(c.now):
			c.sendAttempt(r, e)
		default:
			c.requests.waitForEngine(r)
		}
	}
}

// withinConcurrencyLimit reports whether a class's next request may be sent to an engine. For the class with
// the most priority weight per work the whole limit is its share.
func (c *Controller) withinConcurrencyLimit(e *engine, classIndex int) bool {
	share := c.shares.Share(classIndex)
	if classIndex == c.workload.Summary().HighestValueClass {
		share = 1
	}
	return e.concurrency.Allows(concurrency.Request{
		Threads:       c.classes.all[classIndex].Threads,
		ClassInFlight: c.threadsOfClass(e, classIndex),
		ClassShare:    share,
		WidestThreads: c.classes.maxThreads,
		UnderPressure: c.underPressure(e),
	})
}

// underPressure reports whether an engine, or the pool, has more to do than it keeps up with. Slowdowns don't
// count where only load is reported: without the work of answers they are less precise than the load.
func (c *Controller) underPressure(e *engine) bool {
	timesCount := c.settings.ReportsCost || !c.settings.ReportsLoad
	return c.pressure.UnderPressure(concurrency.Signals{
		AtCapacity:    e.health.AtCapacity(c.now),
		OverdueRatio:  e.slowdown.OverdueRatio(),
		LoadKnown:     e.concurrency.InFlight() > 0 || e.load.Age(c.now) < controlInterval,
		Load:          e.load.Load(),
		SlowdownKnown: timesCount && e.slowdown.Trusted(),
		Slowdown:      e.estimatedSlowdown(&c.slowdowns),
	})
}
