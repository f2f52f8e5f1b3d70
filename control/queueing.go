package control

// enqueue queues a request at the eligible engine with the best score, or at the pool, unless the request is
// shed. The engine to avoid is selected only if no other is eligible.
func (c *Controller) enqueue(request *request, avoid *engine) {
	request.avoid = avoid
	if c.isExhausted(request) {
		c.rejectOrFail(request)
		return
	}
	if c.probeBeforeEnqueue(request, avoid) {
		return
	}
	engine := c.endpoints.pool
	if engine == nil {
		engine = c.selectEngine(request, avoid)
	}
	switch {
	case engine == nil:
		c.requests.deferToNextTick(request)
	case len(request.attempts) == 0 && c.shouldShed(request, engine):
		c.rejectOrFail(request)
	default:
		engine.enqueue(request)
	}
}

// enqueue adds a request to the engine's queue.
func (e *engine) enqueue(request *request) {
	request.queuedOn = e
	work, threads := float64(request.expectedWork), float64(request.class.Threads)
	e.queue.Push(request.classIndex(), request.tenantIndex, request, work, threads)
}

// popFrom removes the request at the head of its flow from an engine's queue and counts it as served.
func (c *Controller) popFrom(engine *engine, request *request) {
	classShare := float64(c.shares.Share(request.classIndex()))
	tenantShare := float64(c.workload.Tenants().Share(request.tenantIndex))
	engine.queue.Pop(request.classIndex(), request.tenantIndex, classShare, tenantShare)
	request.queuedOn = nil
}

// requeueAll empties an engine's queue and defers its requests, which are then enqueued elsewhere.
func (c *Controller) requeueAll(engine *engine) {
	for request, ok := engine.queue.Head(nil); ok; request, ok = engine.queue.Head(nil) {
		c.popFrom(engine, request)
		c.requests.deferToNextTick(request)
	}
}

// enqueueDeferred enqueues the requests that were deferred to this tick, without an engine to avoid.
func (c *Controller) enqueueDeferred() {
	for _, request := range c.requests.takeDeferred() {
		if !request.closed {
			c.enqueue(request, nil)
		}
	}
}
