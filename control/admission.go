package control

import (
	"time"

	"wheatlane/control/admission"
	"wheatlane/control/units"
)

// answerBatches is the number of batch intervals before its deadline at which a request is answered.
const answerBatches = 2

// requestReceived admits a request or rejects it. A timer gives it its one answer whatever else happens.
func (c *Controller) requestReceived(in Request) {
	if c.requests.byID[in.ID] != nil {
		return
	}
	classIndex, known := c.classes.byName[in.Class]
	if !known {
		c.emit(Fail{in.ID}) // nothing ran, but a retry would fail as well
		return
	}
	class, tenantIndex := c.classes.all[classIndex], c.workload.Tenants().Index(in.Tenant)
	request := newRequest(in, class, classIndex, tenantIndex, c.now)
	c.workload.RequestReceived(classIndex, tenantIndex)
	c.retryBudget.RequestReceived(c.now)
	answerIn := in.Deadline - c.now - answerBatches*c.settings.MinBatchInterval
	c.startTimer(answerIn, answerDue{request})
	c.requests.add(request)
	c.enqueue(request, nil)
}

// objectiveEnd is when the latency objective of a request that is received now ends.
func (k *class) objectiveEnd(now time.Duration, in Request, work units.ThreadSeconds) time.Duration {
	end := min(in.Deadline, now+k.objectiveOf(work))
	if patience, known := k.Abandonment.TimeToAbandon(); known {
		end = min(end, now+patience)
	}
	return end
}

// shed reports whether a request is not worth a first attempt at an engine. The price rises with each request
// that finds no capacity.
func (c *Controller) shed(request *request, engine *engine) bool {
	if c.exceedsPrice(request) {
		return true
	}
	if c.withinConcurrencyLimit(engine, request.classIndex) {
		return false
	}
	wait, serviceTime := c.backlog(request, engine).Wait(), c.likelyServiceTime(request, engine)
	if !admission.CannotMeetObjective(wait, serviceTime, request.objectiveAt-c.now) {
		return false
	}
	c.price.Raise()
	return true
}

// exceedsPrice reports whether a request is too much work for its priority weight. There is a price where
// engines are pooled, unless the weight grows with the work.
func (c *Controller) exceedsPrice(request *request) bool {
	lowest := c.workload.Summary().LowestWeightPerThreadSecond
	return c.endpoints.pool != nil && !c.settings.WeightByWork &&
		c.price.Exceeds(request.class.PriorityWeight, lowest, request.expectedWork)
}

// backlog is the work that waits at an engine ahead of a request.
func (c *Controller) backlog(request *request, engine *engine) admission.Backlog {
	queue, classIndex, tenantIndex := &engine.queue, request.classIndex, request.tenantIndex
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

// rejectOrFail ends a request that gets no further attempt, or none at all: shed or exhausted (enqueue), too
// late under pressure (dispatch), not worth a retry (retry), or its time is up (answerDue). It is rejected
// where a retry by its client is harmless, else failed; the client is not told the cause.
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
