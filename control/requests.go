package control

import (
	"slices"
	"time"

	"wheatlane/control/attemptoptions"
	"wheatlane/control/idempotency"
	"wheatlane/control/keyorder"
	"wheatlane/control/retry"
	"wheatlane/control/units"
)

// request is a request that is not over, or of which an attempt is still in flight.
type request struct {
	Request
	class           *class
	classIndex      int
	tenantIndex     int
	receivedAt      time.Duration
	objectiveAt     time.Duration // when its latency objective ends
	expectedWork    units.ThreadSeconds
	attempts        []*attempt // by number
	closed          bool       // it has its final answer, or its client is gone
	responseStarted bool
	queuedOn        *engine                   // whose queue it waits in, if any
	avoid           *engine                   // where it failed last, if it did
	keyQueue        *keyorder.Queue[*request] // of its order key, if its class is ordered
	probed          bool                      // engines were probed for it before it was queued
	candidates      []*engine                 // drawn for it, to be compared once their load is known
	priority        int                       // set last
}

func newRequest(in Request, k *class, classIndex, tenantIndex int, now time.Duration) *request {
	r := &request{
		Request: in, class: k, classIndex: classIndex, tenantIndex: tenantIndex, receivedAt: now,
		expectedWork: k.Cost.ExpectedWork(in.EstimatedWork), priority: attemptoptions.MinPriority,
	}
	r.objectiveAt = k.objectiveEnd(now, in, r.expectedWork)
	return r
}

// addAttempt starts the next attempt of the request, at an engine.
func (r *request) addAttempt(e *engine, now time.Duration) *attempt {
	a := &attempt{
		request: r, number: len(r.attempts), engine: e, sentAt: now, inFlight: true, mayHaveRun: true,
	}
	r.attempts = append(r.attempts, a)
	e.addAttempt(a)
	e.acquireThreads(r.class.Threads)
	return a
}

// retryInput is what a further attempt of the request could yield.
func (r *request) retryInput(now time.Duration) retry.Request {
	return retry.Request{
		TimeLeft: r.Deadline - now, ObjectiveLeft: r.objectiveAt - now, EarnsLate: r.class.LateWeight != 0,
	}
}

// earlierAttempts are the request's attempts as they will stand when the next one leaves the broker.
func (r *request) earlierAttempts(sendTime time.Duration) []idempotency.Attempt {
	earlier := make([]idempotency.Attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		earlier = append(earlier, idempotency.Attempt{
			Location: a.engine.location(), Age: sendTime - a.sentAt, MayHaveRun: a.mayHaveRun,
		})
	}
	return earlier
}

// hasAttemptInFlight reports whether an attempt of the request is in flight.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

// mayHaveRun reports whether an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// requestTable holds all requests that are open, and those closed ones that have an attempt in flight.
type requestTable struct {
	byID      map[string]*request
	waiting   []*request // for an eligible engine
	keyQueues keyorder.Queues[*request]
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, keyQueues: keyorder.New[*request]()}
}

// add stores a request; one of an ordered class goes to the end of its key's queue.
func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	if !r.class.Ordered || r.OrderKey == "" {
		return
	}
	r.keyQueue = t.keyQueues.Add(r.OrderKey, r)
}

// attemptInFlight finds an attempt; nil if it is over or was never made.
func (t *requestTable) attemptInFlight(id string, number int) *attempt {
	r := t.byID[id]
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// waitForEngine keeps a request until the next tick, as no engine is eligible for it now.
func (t *requestTable) waitForEngine(r *request) { t.waiting = append(t.waiting, r) }

// takeWaiting returns the open requests that wait for an eligible engine; they wait no more.
func (t *requestTable) takeWaiting() []*request {
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

// remove drops a request that is over.
func (t *requestTable) remove(r *request) {
	delete(t.byID, r.ID)
	if r.keyQueue != nil {
		r.keyQueue.Remove(r)
	}
}

// clientDisconnected closes the request of a client that is gone.
func (c *Controller) clientDisconnected(id string) {
	if r := c.requests.byID[id]; r != nil && !r.closed {
		r.class.Abandonment.ClientLeft(c.now - r.receivedAt)
		c.closeRequest(r)
	}
}

// closeRequest ends a request: what is in flight for it is of no use any more.
func (c *Controller) closeRequest(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.inFlight && !a.cancelled && c.settings.Limits.Cancellation && !r.responseStarted {
			c.emit(a.cancel())
		}
	}
	if r.queuedOn != nil {
		r.queuedOn.queue.Remove(r.classIndex, r.tenantIndex, r)
		r.queuedOn = nil
	}
	c.removeIfOver(r)
}

// removeIfOver drops a closed request once none of its attempts is in flight.
func (c *Controller) removeIfOver(r *request) {
	if !r.closed || r.hasAttemptInFlight() {
		return
	}
	c.requests.remove(r)
	if queue := r.keyQueue; queue != nil && queue.Empty() {
		c.startTimer(queue.CooldownLeft(c.now), orderKeyIdle{queue})
	}
}
