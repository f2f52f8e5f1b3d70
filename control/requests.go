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

// request holds the state of a request that is open or has an attempt in flight.
type request struct {
	Request
	class             *class
	tenantIndex       int
	receivedAt        time.Duration
	objectiveDeadline time.Duration // end of the latency objective
	expectedWork      units.ThreadSeconds
	attempts          []*attempt // by number
	closed            bool       // it has its final response, or its client disconnected
	responseStarted   bool
	queuedOn          *engine                   // engine in whose queue it waits; nil if none
	avoid             *engine                   // engine of the last failed attempt; nil if none
	keyQueue          *keyorder.Queue[*request] // queue of its order key; nil if its class is not ordered
	probed            bool                      // engines were probed before it was queued
	candidates        []*engine                 // engines drawn for comparison once their load is known
	priority          int                       // priority set last
	dueTimer          uint64                    // token of its responseDue
}

func newRequest(received Request, class *class, tenantIndex int, now time.Duration) *request {
	request := &request{
		Request: received, class: class, tenantIndex: tenantIndex,
		receivedAt:   now,
		expectedWork: class.Cost.ExpectedWork(received.EstimatedWork),
		priority:     attemptoptions.MinPriority,
	}
	request.objectiveDeadline = class.objectiveDeadline(now, received, request.expectedWork)
	return request
}

// classIndex returns the index of the request's class. A reload may change it.
func (r *request) classIndex() int { return r.class.slot.current().index }

// addAttempt records the next attempt of the request, at an engine, as in flight.
func (r *request) addAttempt(engine *engine, now time.Duration) *attempt {
	attempt := &attempt{
		request: r, number: len(r.attempts), engine: engine, sentAt: now,
		inFlight: true, mayHaveRun: true,
	}
	r.attempts = append(r.attempts, attempt)
	engine.addAttempt(attempt)
	engine.acquireThreads(r.class.Threads)
	return attempt
}

// retryInput returns the request state that the retry policy evaluates.
func (r *request) retryInput(now time.Duration) retry.Request {
	return retry.Request{
		TimeLeft:         r.Deadline - now,
		ObjectiveLeft:    r.objectiveDeadline - now,
		LateAnswerCounts: r.class.LateWeight != 0,
	}
}

// earlierAttempts returns the request's attempts, with their ages at the time when the next one is sent.
func (r *request) earlierAttempts(sendTime time.Duration) []idempotency.Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	earlier := make([]idempotency.Attempt, 0, len(r.attempts))
	for _, attempt := range r.attempts {
		earlier = append(earlier, idempotency.Attempt{
			Location:   attempt.engine.location(),
			Age:        sendTime - attempt.sentAt,
			MayHaveRun: attempt.mayHaveRun,
		})
	}
	return earlier
}

// hasAttemptInFlight reports whether an attempt of the request is in flight.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.inFlight })
}

// mayHaveRun reports whether an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.mayHaveRun })
}

// requestTable holds all requests that are open or have an attempt in flight.
type requestTable struct {
	byID      map[string]*request
	deferred  []*request // requests that wait for the next tick; see deferToNextTick
	keyQueues keyorder.Queues[*request]
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, keyQueues: keyorder.New[*request]()}
}

// add stores a request. A request of an ordered class joins the end of its order key's queue.
func (t *requestTable) add(request *request) {
	t.byID[request.ID] = request
	request.class.slot.current().requests++
	if !request.class.Ordered || request.OrderKey == "" {
		return
	}
	request.keyQueue = t.keyQueues.Add(request.OrderKey, request)
}

// attemptInFlight returns an attempt that is in flight, or nil if it has ended or does not exist.
func (t *requestTable) attemptInFlight(id string, number int) *attempt {
	request := t.byID[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	if attempt := request.attempts[number]; attempt.inFlight {
		return attempt
	}
	return nil
}

// deferToNextTick defers a request that may not be sent now to the next tick: no engine is eligible or has
// capacity, its order key is busy, the retry budget is spent, or the engine at which it was queued is out of
// service. responseDue ends the request if it is still deferred when its response is due.
func (t *requestTable) deferToNextTick(request *request) { t.deferred = append(t.deferred, request) }

// takeDeferred returns the deferred requests and clears the list.
func (t *requestTable) takeDeferred() []*request {
	waiting := t.deferred
	t.deferred = nil
	return waiting
}

// remove removes a request from the table and from its order key's queue.
func (t *requestTable) remove(request *request) {
	if t.byID[request.ID] == request {
		delete(t.byID, request.ID)
		request.class.slot.current().requests--
	}
	if request.keyQueue != nil {
		request.keyQueue.Remove(request)
	}
}

// handleClientDisconnected closes a request that the broker has closed; see ClientDisconnected.
func (c *Controller) handleClientDisconnected(id string) {
	if request := c.requests.byID[id]; request != nil && !request.closed {
		request.class.Abandonment.ClientDisconnected(c.now - request.receivedAt)
		c.closeRequest(request)
	}
}

// closeRequest closes a request, removes it from its queue and cancels its attempts where that is supported,
// because their responses are no longer needed.
func (c *Controller) closeRequest(request *request) {
	request.closed = true
	mayCancel := c.settings.Limits.Cancellation && !request.responseStarted
	for _, attempt := range request.attempts {
		if mayCancel && attempt.inFlight && !attempt.cancelled {
			c.emit(attempt.cancel())
		}
	}
	if request.queuedOn != nil {
		request.queuedOn.queue.Remove(request.classIndex(), request.tenantIndex, request)
		request.queuedOn = nil
	}
	c.removeIfFinished(request)
}

// removeIfFinished removes a closed request once none of its attempts is in flight.
func (c *Controller) removeIfFinished(request *request) {
	if !request.closed || request.hasAttemptInFlight() {
		return
	}
	c.requests.remove(request)
	c.dropTimers(request)
	if queue := request.keyQueue; queue != nil && queue.Empty() {
		c.startTimer(queue.CooldownLeft(c.now), orderKeyIdle{queue})
	}
}

// dropTimers drops the timers of a request that has been removed: they have nothing left to do, but would keep the
// request in memory until they expire.
func (c *Controller) dropTimers(request *request) {
	c.timers.take(request.dueTimer)
	for _, attempt := range request.attempts {
		c.timers.take(attempt.overdueTimer)
	}
}
