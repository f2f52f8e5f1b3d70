package control

import (
	"slices"
	"time"

	"wheatlane/control/keyorder"
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
		expectedWork: k.Cost.ExpectedWork(in.EstimatedWork), priority: minPriority,
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

// attempt is one attempt of a request.
type attempt struct {
	request        *request
	number         int
	engine         *engine
	sentAt         time.Duration
	inFlight       bool
	mayHaveRun     bool
	cancelled      bool           // its cancellation was asked for
	presumedLost   bool           // its answer is not waited for
	lossConfidence units.Fraction // of the presumption
	released       bool           // its threads count no more against the concurrency limit
	lastProgressAt time.Duration  // of its last progress report
}

// releaseThreads counts the attempt's threads no more against the concurrency limit, once.
func (a *attempt) releaseThreads() {
	if !a.released {
		a.released = true
		a.engine.releaseThreads(a.request.class.Threads)
	}
}

// isWorthless reports whether an answer would earn nothing any more.
func (r *request) isWorthless(now time.Duration) bool {
	return r.class.LateWeight == 0 && now > r.objectiveAt
}

// isWorthHedging reports whether a further attempt, of its usual work, would end in time to earn something.
// A request that a further attempt could only reach within its dedup scope is not hedged.
func (r *request) isWorthHedging(now time.Duration) bool {
	return r.class.Idempotency.RepeatableAnywhere() &&
		now+r.expectedWork.OnThreads(1).Duration() <= r.Deadline && !r.isWorthless(now)
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
			c.cancelAttempt(a)
		}
	}
	if r.queuedOn != nil {
		r.queuedOn.queue.Remove(r.classIndex, r.tenantIndex, r)
		r.queuedOn = nil
	}
	c.removeIfOver(r)
}

func (c *Controller) cancelAttempt(a *attempt) {
	a.cancelled = true
	c.emit(CancelAttempt{a.request.ID, a.number})
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

// enqueueOn puts a request into an engine's queue.
func (c *Controller) enqueueOn(e *engine, r *request) {
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
