package control

import (
	"time"

	"wheatlane/control/admission"
	"wheatlane/control/units"
)

// deadlineLeadBatches is the number of batch intervals before its deadline at which a request that is still
// open is rejected or failed.
const deadlineLeadBatches = 2

// handleRequestReceived admits or rejects a request. A timer ensures that the request gets its one final
// response by its deadline.
func (c *Controller) handleRequestReceived(received Request) {
	if c.requests.byID[received.ID] != nil {
		return
	}
	class := c.classes.byName[received.Class]
	if class == nil {
		c.emit(Fail{received.ID}) // nothing ran, but a retry would fail too
		return
	}
	tenantIndex := c.workload.Tenants().Index(received.Tenant)
	request := newRequest(received, class, tenantIndex, c.now)
	c.workload.RequestReceived(request.classIndex(), tenantIndex)
	c.retryBudget.RequestReceived(c.now)
	responseDueIn := received.Deadline - c.now - deadlineLeadBatches*c.settings.MinBatchInterval
	request.dueTimer = c.startTimer(responseDueIn, responseDue{request})
	c.requests.add(request)
	c.enqueue(request, nil)
}

// objectiveDeadline returns the end of the latency objective of a request that is received now. The objective
// ends no later than the request's deadline and the time at which clients of the class usually disconnect.
func (c *class) objectiveDeadline(
	now time.Duration, received Request, work units.ThreadSeconds,
) time.Duration {
	end := min(received.Deadline, now+c.objectiveOf(work))
	if untilDisconnect, known := c.Abandonment.TimeToAbandon(); known {
		end = min(end, now+untilDisconnect)
	}
	return end
}

// shouldShed reports whether a request should be rejected instead of queued for its first attempt at an
// engine. Each request that cannot meet its objective there raises the admission price.
func (c *Controller) shouldShed(request *request, engine *engine) bool {
	if c.exceedsAdmissionPrice(request) {
		return true
	}
	if c.withinConcurrencyLimit(engine, request) {
		return false
	}
	wait, serviceTime := c.backlog(request, engine).Wait(), c.likelyServiceTime(request, engine)
	if !admission.CannotMeetObjective(wait, serviceTime, request.objectiveDeadline-c.now) {
		return false
	}
	c.price.Raise()
	return true
}

// exceedsAdmissionPrice reports whether a request has too much work for its priority weight. The price
// applies only where engines are pooled and the weight does not scale with the work.
func (c *Controller) exceedsAdmissionPrice(request *request) bool {
	lowest := c.workload.Summary().LowestWeightPerThreadSecond
	return c.endpoints.pool != nil && !c.settings.WeightScalesWithWork &&
		c.price.Exceeds(request.class.PriorityWeight, lowest, request.expectedWork)
}

// backlog returns the work that is queued at an engine ahead of a request.
func (c *Controller) backlog(request *request, engine *engine) admission.Backlog {
	queue, classIndex, tenantIndex := &engine.queue, request.classIndex(), request.tenantIndex
	return admission.Backlog{
		All:         units.ThreadSeconds(queue.Work()),
		Class:       units.ThreadSeconds(queue.ClassWork(classIndex)),
		Tenant:      units.ThreadSeconds(queue.TenantWork(classIndex, tenantIndex)),
		ClassShare:  c.shares.Share(classIndex),
		TenantShare: c.workload.Tenants().Share(tenantIndex),
		Limit:       engine.concurrency.Limit(),
		Slowdown:    engine.estimatedSlowdown(&c.slowdowns),
	}
}

// rejectOrFail ends a request that gets no further attempt: it is shed or exhausted (enqueue), too late under
// pressure (dispatch), not worth a retry (retryIfWorthwhile) or out of time (responseDue). The request is
// rejected where a retry by its client is harmless, else failed. The response does not include the cause.
func (c *Controller) rejectOrFail(request *request) {
	if request.closed || request.responseStarted {
		return
	}
	if request.class.Idempotency.AllowsRejection(request.mayHaveRun()) {
		reject := Reject{RequestID: request.ID}
		if limits := &c.settings.Limits; limits.RetryAfter {
			reject.RetryAfter = admission.RetryAfter(limits.MaxRetryAfter, c.rng.Float64())
		}
		c.emit(reject)
	} else {
		c.emit(Fail{request.ID})
	}
	c.closeRequest(request)
}
