package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/shares"
)

// An overloaded engine may send no responses at all. The age of its attempts in flight then indicates
// pressure, so that the concurrency limit holds.
func TestLimitHoldsWithoutResponsesFromAnOverloadedEngine(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	sent := 0
	for range 200 {
		_, got := h.submit("quick")
		sent += countOf[SendAttempt](got)
		sent += countOf[SendAttempt](h.advance(10 * ms))
	}
	early := sent
	for range 200 {
		_, got := h.submit("quick")
		sent += countOf[SendAttempt](got)
		sent += countOf[SendAttempt](h.advance(5 * ms))
	}
	if sent-early > 4 {
		t.Fatalf("%d more attempts sent to an overloaded engine, want at most 4 (%d before)", sent-early, early)
	}
}

// Long requests fill the concurrency limit for seconds. Quick requests, whose weight per thread-second is
// higher, must not wait or be rejected because of them while the quick ones alone hold less than the limit.
func TestLongRequestsLeaveCapacityToQuickOnes(t *testing.T) {
	h := newHarnessUnderPressure(t)
	for range 10 {
		h.submit("long", h.deadlineIn(20*time.Second))
	}
	e := h.controller.endpoints.all[0]
	headroom := e.concurrency.Limit() - float64(e.concurrency.ThreadsInFlight())
	if headroom >= 2 || !h.controller.underPressure(e) {
		t.Fatalf("headroom of %.1f threads, want less than 2; under pressure: %v, want true",
			headroom, h.controller.underPressure(e))
	}
	quick := 0
	for range 20 {
		_, got := h.submit("quick")
		quick += countOf[SendAttempt](got)
	}
	limit := e.concurrency.Limit()
	if float64(quick) <= float64(h.controller.shares.Share(0))*limit || float64(quick) > limit {
		t.Fatalf("%d quick requests were sent, want more than their share of the limit of %.1f and at most the limit",
			quick, limit)
	}
}

// Without pressure an engine accepts at most a small multiple of its limit, so that the requests of a lost
// engine do not overload the others before pressure is detected.
func TestLostEngineDoesNotOverloadTheOthers(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	e := h.controller.endpoints.all[0]
	for range 100 {
		h.submit("long", h.deadlineIn(20*time.Second))
	}
	limit, threads := e.concurrency.Limit(), float64(e.concurrency.ThreadsInFlight())
	unloadedLimit := concurrency.DefaultConfig().UnloadedMultiple * limit
	if h.controller.underPressure(e) || threads < limit || threads > unloadedLimit {
		t.Fatalf("%v threads in flight, want between the limit of %.1f and %.1f", threads, limit, unloadedLimit)
	}
}

// Without pressure an engine accepts two requests of the widest class, even if its limit fits only one.
func TestUnloadedEngineAcceptsTwoOfTheWidestRequests(t *testing.T) {
	s := baseSettings()
	s.Brokers, s.Classes[1].Threads = 3, 4
	h := newHarness(t, s, readyEngine("e1"))
	limiter := &h.controller.endpoints.all[0].concurrency
	limiter.Scale(4 / limiter.Limit())
	sent := 0
	for range 4 {
		_, got := h.submit("long", h.deadlineIn(20*time.Second))
		sent += countOf[SendAttempt](got)
	}
	requireEqual(t, "requests sent", sent, 2)
}

// Under pressure, each pooled broker limits its threads in flight to its share of all engines' limits
// together, not to one request per engine, so that the total load of the fleet is bounded though brokers act
// independently.
func TestPooledBrokerStaysWithinItsShareOfTheLimits(t *testing.T) {
	h := newPooledHarness(t, pooledSettings(), 60)
	for range 400 { // without responses
		h.submit("quick")
		h.advance(20 * ms)
		pool := h.controller.endpoints.pool
		widest := float64(h.controller.classes.maxThreads)
		maxThreads := concurrency.DefaultConfig().UnloadedMultiple*max(pool.concurrency.Limit(), widest) + 2
		if float64(pool.concurrency.ThreadsInFlight()) > maxThreads {
			t.Fatalf("%d threads in flight, want at most %.1f", pool.concurrency.ThreadsInFlight(), maxThreads)
		}
	}
	requireEqual(t, "under pressure", h.controller.underPressure(h.controller.endpoints.pool), true)
}

// A worked example of start-time fair queueing: with shares of 3 to 1, equal costs and a backlog of both
// classes, the first class gets three of four dispatches. internal/fairqueue tests that a flow with a backlog
// retains its tag.
func TestFairQueueingFollowsShares(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	c, e := h.controller, h.controller.endpoints.all[0]
	c.shares = shares.New(shares.DefaultConfig(), []float64{0.75, 0.25})
	for i := range 40 {
		class := c.classes.all[i%2]
		e.enqueue(&request{
			Request: Request{ID: fmt.Sprint(i)}, class: class,
			tenantIndex: i / 2 % 2, expectedWork: 1,
		})
	}
	requireEqual(t, "threads of queued requests", e.queue.Threads(), 20+20*2)
	var classes, tenants [2]int
	for range 16 {
		head, _ := e.queue.Head(nil)
		requireEqual(t, "queued on the engine", head.queuedOn, e)
		c.popFrom(e, head)
		requireEqual(t, "queued on no engine", head.queuedOn, nil)
		classes[head.classIndex()]++
		if head.classIndex() == 0 {
			tenants[head.tenantIndex]++
		}
	}
	requireEqual(t, "class service", classes, [2]int{12, 4})
	requireEqual(t, "tenant service, shares 3 to 1", tenants, [2]int{9, 3})
}
