package control

import "wheatlane/control/admission"

// Tuned values of dispatch under the concurrency limit.
const (
	pressureSlowdown = 0.45 // log of slowdown that is pressure
	pressureLoad     = 0.90 // reported load that is pressure
	pressureOverdue  = 3.0  // age of what is in flight over its usual time that is pressure
	calmLimitFactor  = 1.5  // limits that an engine gets without pressure, as pressure shows late
	calmWideRequests = 2    // requests of the widest class that it gets at least then
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
		case c.mayAttempt(r, e) && !e.atCapacity(c.now):
			c.sendAttempt(r, e)
		default:
			c.requests.waitForEngine(r)
		}
	}
}

// withinConcurrencyLimit says whether a class's next request may be sent: without pressure, under the limit
// or, so that long requests keep no quick ones out, while the class has less than its share in flight. For
// the class with the most priority weight per work that share is all.
func (c *Controller) withinConcurrencyLimit(e *engine, classIndex int) bool {
	width, limit := float64(c.workload.classes[classIndex].Threads), e.limit
	if !c.underPressure(e) {
		limit = max(calmLimitFactor*limit, calmWideRequests*c.workload.maxThreads)
	}
	share := c.shares.weights[classIndex]
	if classIndex == c.workload.highestValueClass {
		share = 1
	}
	return e.threadsInFlight == 0 || float64(e.threadsInFlight)+width <= limit ||
		c.threadsOfClass(e, classIndex)+width <= max(width, share*limit)
}

// underPressure says whether an engine, or the pool, has more to do than it keeps up with. Where engines
// report their load but not the work of answers, reports say more than noisy times.
func (c *Controller) underPressure(e *engine) bool {
	loadCounts := e.threadsInFlight > 0 || c.now-e.loadReportedAt < controlInterval
	timesCount := (c.settings.ReportsCost || len(c.settings.ReportFields) == 0) &&
		e.slowdownSamples > minSlowdownSamples
	return e.atCapacity(c.now) || e.overdueRatio > pressureOverdue ||
		loadCounts && e.load > pressureLoad || timesCount && c.estimatedSlowdown(e) > pressureSlowdown
}
