package control

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control/concurrency"
	"wheatlane/control/shares"
)

// An overloaded engine sends no answers: the age of what is in flight keeps up the pressure.
func TestOverloadWithoutAnswersHoldsTheLimit(t *testing.T) {
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
		t.Fatalf("%d more sent to an overloaded engine (%d before it showed)", sent-early, early)
	}
}

// Long requests fill the concurrency limit for seconds. Quick ones, whose weight is higher for their work,
// must not wait or be rejected for it while they hold less than the limit by themselves.
func TestLongRequestsLeaveCapacityToQuickOnes(t *testing.T) {
	h := newHarnessUnderPressure(t)
	for range 10 {
		h.submit("long", h.deadlineIn(20*time.Second))
	}
	e := h.controller.endpoints.all[0]
	headroom := e.concurrency.Limit() - float64(e.concurrency.ThreadsInFlight())
	if headroom >= 2 || !h.controller.underPressure(e) {
		t.Fatalf("the long ones leave %.1f threads", headroom)
	}
	quick := 0
	for range 20 {
		_, got := h.submit("quick")
		quick += countOf[SendAttempt](got)
	}
	limit := e.concurrency.Limit()
	if float64(quick) <= float64(h.controller.shares.Share(0))*limit || float64(quick) > limit {
		t.Fatalf("%d quick requests were sent, want over their share of the limit of %.1f, and at most the limit",
			quick, limit)
	}
}

// Without pressure an engine takes a small multiple of its limit at most, so that the requests of a lost
// engine do not overload the others before pressure shows.
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

// Without pressure an engine takes two requests of the widest class, also where its limit holds but one.
func TestUnloadedEngineTakesTwoOfTheWidestRequests(t *testing.T) {
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

// The joint load of a fleet stays under control though no broker sees another: under pressure what each has
// in flight follows its share of all limits together, not a request for each engine.
func TestPooledBrokerKeepsItsShareOfTheLimits(t *testing.T) {
	h := newPooledHarness(t, pooledSettings(), 60)
	for range 400 { // nothing is answered
		h.submit("quick")
		h.advance(20 * ms)
		pool := h.controller.endpoints.pool
		widest := float64(h.controller.classes.maxThreads)
		maxThreads := concurrency.DefaultConfig().UnloadedMultiple*max(pool.concurrency.Limit(), widest) + 2
		if float64(pool.concurrency.ThreadsInFlight()) > maxThreads {
			t.Fatalf("%d threads in flight, over %.1f", pool.concurrency.ThreadsInFlight(), maxThreads)
		}
	}
	requireEqual(t, "under pressure", h.controller.underPressure(h.controller.endpoints.pool), true)
}

// Worked example of start-time fair queueing: shares 3 to 1, equal costs, both backlogged: the first class
// gets three of four. That a flow which stays backlogged keeps its tag is tested in internal/fairqueue.
func TestFairQueueingFollowsShares(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	c, e := h.controller, h.controller.endpoints.all[0]
	c.shares = shares.New(shares.DefaultConfig(), []float64{0.75, 0.25})
	for i := range 40 {
		k := c.classes.all[i%2]
		e.enqueue(&request{
			Request: Request{ID: fmt.Sprint(i)}, class: k, classIndex: i % 2,
			tenantIndex: i / 2 % 2, expectedWork: 1,
		})
	}
	requireEqual(t, "threads of the requests that wait", e.queue.Threads(), 20+20*2)
	var classes, tenants [2]int
	for range 16 {
		head, _ := e.queue.Head(nil)
		requireEqual(t, "queued on the engine", head.queuedOn, e)
		c.popFrom(e, head)
		requireEqual(t, "queued on no engine", head.queuedOn, nil)
		classes[head.classIndex]++
		if head.classIndex == 0 {
			tenants[head.tenantIndex]++
		}
	}
	requireEqual(t, "class service", classes, [2]int{12, 4})
	requireEqual(t, "tenant service, shares 3 to 1", tenants, [2]int{9, 3})
}
