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

func newRequest(in Request, class *class, classIndex, tenantIndex int, now time.Duration) *request {
	request := &request{
		Request: in, class: class, classIndex: classIndex, tenantIndex: tenantIndex, receivedAt: now,
		expectedWork: class.Cost.ExpectedWork(in.EstimatedWork), priority: attemptoptions.MinPriority,
	}
	request.objectiveAt = class.objectiveEnd(now, in, request.expectedWork)
	return request
}

// addAttempt starts the next attempt of the request, at an engine.
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

// retryInput is what a further attempt of the request could yield.
func (r *request) retryInput(now time.Duration) retry.Request {
	return retry.Request{
		TimeLeft:         r.Deadline - now,
		ObjectiveLeft:    r.objectiveAt - now,
		LateAnswerCounts: r.class.LateWeight != 0,
	}
}

// earlierAttempts are the request's attempts as they will stand when the next one leaves the broker.
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

// requestTable holds all requests that are open, and those closed ones that have an attempt in flight.
type requestTable struct {
	byID      map[string]*request
	waiting   []*request // for the next tick; see waitForTick
	keyQueues keyorder.Queues[*request]
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, keyQueues: keyorder.New[*request]()}
}

// add stores a request; one of an ordered class goes to the end of its key's queue.
func (t *requestTable) add(request *request) {
	t.byID[request.ID] = request
	if !request.class.Ordered || request.OrderKey == "" {
		return
	}
	request.keyQueue = t.keyQueues.Add(request.OrderKey, request)
}

// attemptInFlight finds an attempt; nil if it is over or was never made.
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

// waitForTick keeps a request until the next tick, as it may not be sent now: no engine is eligible or has
// capacity, its order key is busy, the retry budget is spent, or the engine it was queued at is out of
// service. If that stays so, answerDue ends the wait.
func (t *requestTable) waitForTick(request *request) { t.waiting = append(t.waiting, request) }

// takeWaiting empties the list of requests that wait for the next tick, and returns them.
func (t *requestTable) takeWaiting() []*request {
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

// remove drops a request that is over.
func (t *requestTable) remove(request *request) {
	delete(t.byID, request.ID)
	if request.keyQueue != nil {
		request.keyQueue.Remove(request)
	}
}

// clientDisconnected closes a request that the broker has closed, see ClientDisconnected.
func (c *Controller) clientDisconnected(id string) {
	if request := c.requests.byID[id]; request != nil && !request.closed {
		request.class.Abandonment.ClientDisconnected(c.now - request.receivedAt)
		c.closeRequest(request)
	}
}

// closeRequest ends a request: what is in flight for it is no longer of use.
func (c *Controller) closeRequest(request *request) {
	request.closed = true
	cancels := c.settings.Limits.Cancellation && !request.responseStarted
	for _, attempt := range request.attempts {
		if cancels && attempt.inFlight && !attempt.cancelled {
			c.emit(attempt.cancel())
		}
	}
	if request.queuedOn != nil {
		request.queuedOn.queue.Remove(request.classIndex, request.tenantIndex, request)
		request.queuedOn = nil
	}
	c.removeIfOver(request)
}

// removeIfOver drops a closed request once none of its attempts is in flight.
func (c *Controller) removeIfOver(request *request) {
	if !request.closed || request.hasAttemptInFlight() {
		return
	}
	c.requests.remove(request)
	if queue := request.keyQueue; queue != nil && queue.Empty() {
		c.startTimer(queue.CooldownLeft(c.now), orderKeyIdle{queue})
	}
}
