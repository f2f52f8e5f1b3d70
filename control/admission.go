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
		c.emit(Fail{in.ID})
		return
	}
	k, tenantIndex := c.classes.all[classIndex], c.workload.Tenants().Index(in.Tenant)
	r := newRequest(in, k, classIndex, tenantIndex, c.now)
	c.workload.RequestReceived(classIndex, tenantIndex)
	c.retries.RequestReceived(c.now)
	answerIn := in.Deadline - c.now - answerBatches*c.settings.MinBatchInterval
	c.startTimer(answerIn, answerDue{r})
	c.requests.add(r)
	c.enqueue(r, nil)
}

// objectiveEnd is when the latency objective of a request that is received now ends.
func (k *class) objectiveEnd(now time.Duration, in Request, work units.ThreadSeconds) time.Duration {
	end := min(in.Deadline, now+k.objectiveOf(work))
	if patience, known := k.Abandonment.Patience(); known {
		end = min(end, now+patience)
	}
	return end
}

// shed reports whether a request is not worth a first attempt at an engine. The price rises with each request
// that finds no capacity.
func (c *Controller) shed(r *request, e *engine) bool {
	if c.exceedsPrice(r) {
		return true
	}
	if c.withinConcurrencyLimit(e, r.classIndex) {
		return false
	}
	if !admission.CannotMeetObjective(c.backlog(r, e).Wait(), c.likelyServiceTime(r, e), r.objectiveAt-c.now) {
		return false
	}
	c.price.Raise()
	return true
}

// exceedsPrice reports whether a request is too much work for its priority weight. There is a price where
// engines are pooled, unless the weight grows with the work.
func (c *Controller) exceedsPrice(r *request) bool {
	lowest := c.workload.Summary().LowestWeightPerThreadSecond
	return c.endpoints.pool != nil && !c.settings.WeightByWork &&
		c.price.Exceeds(r.class.PriorityWeight, lowest, r.expectedWork)
}

// backlog is the work that waits at an engine ahead of a request.
func (c *Controller) backlog(r *request, e *engine) admission.Backlog {
	return admission.Backlog{
		All:         units.ThreadSeconds(e.queue.Work()),
		Class:       units.ThreadSeconds(e.queue.ClassWork(r.classIndex)),
		Tenant:      units.ThreadSeconds(e.queue.TenantWork(r.classIndex, r.tenantIndex)),
		ClassShare:  c.shares.Share(r.classIndex),
		TenantShare: c.workload.Tenants().Share(r.tenantIndex),
		Threads:     e.concurrency.Limit(),
		Slowdown:    e.estimatedSlowdown(&c.slowdowns),
	}
}

// rejectOrFail ends a request whose time is up or that nothing can help: rejected where a retry by its client
// is harmless, else failed.
func (c *Controller) rejectOrFail(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	if r.class.Idempotency.AllowsRejection(r.mayHaveRun()) {
		reject := Reject{RequestID: r.ID}
		if c.settings.Limits.RetryAfter {
			reject.RetryAfter = admission.RetryAfter(c.settings.Limits.MaxRetryAfter, c.rng.Float64())
		}
		c.emit(reject)
	} else {
		c.emit(Fail{r.ID})
	}
	c.closeRequest(r)
}
