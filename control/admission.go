package control

import (
	"time"

	"wheatlane/control/units"
)

// Tuned values of admission and load shedding.
const (
	deadlineBatches     = 2        // batch intervals before its deadline at which a request is answered
	minAdmissionPrice   = 1.0 / 16 // rejects no request under 16 times the mean work
	admissionPriceRise  = 1.3      // growth of the price with each request that finds no capacity
	admissionPriceFall  = 0.95     // part of the price left after an interval
	maxRejectRetryAfter = time.Second
	minRejectRetryAfter = 300 * time.Millisecond
)

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
	r.objectiveAt = min(in.Deadline, c.now+k.objectiveOf(r.expectedWork))
	if patience, known := k.Abandonment.Patience(); known {
		r.objectiveAt = min(r.objectiveAt, c.now+patience)
	}
	c.workload.RequestReceived(classIndex, tenantIndex)
	c.retries.RequestReceived(c.now)
	answerIn := in.Deadline - c.now - deadlineBatches*c.settings.MinBatchInterval
	c.startTimer(answerIn, func() { c.rejectOrFail(r) })
	c.requests.add(r)
	c.enqueue(r, nil)
}

// enqueue queues a request at the eligible engine with the best score, or at the pool, unless it is shed. An
// engine to avoid is taken only if there is no other.
func (c *Controller) enqueue(r *request, avoid *engine) {
	r.avoid = avoid
	if len(r.attempts) > 0 && !r.hasAttemptInFlight() && c.attemptsExhausted(r) {
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
	case len(r.attempts) == 0 && c.belowAdmissionPrice(r):
		c.rejectOrFail(r)
	case len(r.attempts) == 0 && c.cannotMeetObjective(r, e):
		c.admission.raise()
		c.rejectOrFail(r)
	default:
		c.enqueueOn(e, r)
	}
}

// rejectOrFail ends a request whose time is up or that nothing can help: rejected where trying again is
// harmless, else failed.
func (c *Controller) rejectOrFail(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	if r.class.Idempotency.AllowsRejection(r.mayHaveRun()) {
		reject := Reject{RequestID: r.ID}
		if c.settings.Limits.RetryAfter {
			reject.RetryAfter = c.retryAfter()
		}
		c.emit(reject)
	} else {
		c.emit(Fail{r.ID})
	}
	c.closeRequest(r)
}

// retryAfter is when a rejected client is asked to come back: spread evenly up to the longest wait that
// clients follow, as what a fleet rejects at once must not come back at once.
func (c *Controller) retryAfter() time.Duration {
	longest := min(c.settings.Limits.MaxRetryAfter, maxRejectRetryAfter)
	shortest := min(minRejectRetryAfter, longest/2)
	return shortest + time.Duration(c.rng.Float64()*float64(longest-shortest))
}

// cannotMeetObjective says whether a request that has to wait for the limit cannot meet its latency
// objective: rejected early it costs nothing. Its class waits for its own share, and its tenant within that.
func (c *Controller) cannotMeetObjective(r *request, e *engine) bool {
	if c.withinConcurrencyLimit(e, r.classIndex) {
		return false
	}
	classShare := float64(c.shares.Share(r.classIndex))
	tenantShare := float64(c.workload.Tenants().Share(r.tenantIndex))
	ahead := min(e.queue.Work(), e.queue.ClassWork(r.classIndex)/classShare,
		e.queue.TenantWork(r.classIndex, r.tenantIndex)/classShare/tenantShare)
	wait := units.Duration(ahead / e.concurrency.Limit() * c.estimatedSlowdown(e).Ratio())
	return c.now+wait+c.likelyServiceTime(r, e) > r.objectiveAt
}

// admissionPrice is the least priority weight per thread-second of an admitted request, as a multiple of that
// of the class with the least. It rises while requests find no capacity.
type admissionPrice struct{ price float64 }

func (p *admissionPrice) raise() { p.price = min(1, p.price*admissionPriceRise) }
func (p *admissionPrice) decay() { p.price = max(minAdmissionPrice, p.price*admissionPriceFall) }

// belowAdmissionPrice says whether a request is too much work for its priority weight while the pool is short
// of capacity: without it a few very heavy requests keep out many light ones of the same weight.
func (c *Controller) belowAdmissionPrice(r *request) bool {
	lowest := c.workload.Summary().LowestWeightPerThreadSecond
	return c.endpoints.pool != nil && !c.settings.WeightByWork &&
		r.class.PriorityWeight < c.admission.price*lowest*float64(r.expectedWork)
}
