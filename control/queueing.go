package control

// enqueue queues a request at the eligible engine with the best score, or at the pool, unless it is shed. An
// engine to avoid is taken only if there is no other.
func (c *Controller) enqueue(r *request, avoid *engine) {
	r.avoid = avoid
	if rules := c.eligibilityOf(r); len(r.attempts) > 0 && !rules.AttemptInFlight && rules.Exhausted() {
		c.rejectOrFail(r)
		return
	}
	if c.probeBeforeEnqueue(r, avoid) {
		return
	}
	e := c.endpoints.pool
	if e == nil {
		e = c.selectEngine(r, avoid)
	}
	switch {
	case e == nil:
		c.requests.waitForEngine(r)
	case len(r.attempts) == 0 && c.shed(r, e):
		c.rejectOrFail(r)
	default:
		e.enqueue(r)
	}
}

// enqueue puts a request into the engine's queue.
func (e *engine) enqueue(r *request) {
	r.queuedOn = e
	e.queue.Push(r.classIndex, r.tenantIndex, r, float64(r.expectedWork), float64(r.class.Threads))
}

// popFrom takes the request at the head of its flow out of an engine's queue, as served.
func (c *Controller) popFrom(e *engine, r *request) {
	classShare, tenantShare := c.shares.Share(r.classIndex), c.workload.Tenants().Share(r.tenantIndex)
	e.queue.Pop(r.classIndex, r.tenantIndex, float64(classShare), float64(tenantShare))
	r.queuedOn = nil
}

// requeueWaiting takes all requests out of an engine's queue, to be enqueued elsewhere.
func (c *Controller) requeueWaiting(e *engine) {
	for r, ok := e.queue.Head(nil); ok; r, ok = e.queue.Head(nil) {
		c.popFrom(e, r)
		c.requests.waitForEngine(r)
	}
}

// retryWaiting enqueues again what found no eligible engine.
func (c *Controller) retryWaiting() {
	for _, r := range c.requests.takeWaiting() {
		if !r.closed {
			c.enqueue(r, nil)
		}
	}
}
