package control

import (
	"slices"
	"testing"
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/overdue"
	"wheatlane/control/workload"
)

func TestAttemptOnSilentEngineIsCancelledAndRetriedElsewhere(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.ProgressInterval, s.Classes[0].LateWeight = true, time.Second, 0.1
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	silent := actionsOf[SendAttempt](got)[0].Engine
	for range 40 {
		other, got := h.submit("quick")
		if actionsOf[SendAttempt](got)[0].Engine != silent {
			h.endAttempt(other, 0, OK)
		}
		if got = h.advance(50 * ms); slices.Contains(got, Action(CancelAttempt{RequestID: id, Number: 0})) {
			lossRate := float64(h.controller.outliers.LossRate(&h.controller.endpoints.byID[silent].health))
			const expectedLossRate = 0.01 // of an engine without observations
			requireEqual(t, "high loss rate", lossRate > 10*expectedLossRate, true)
			retries := actionsOf[SendAttempt](h.endAttempt(id, 0, Cancelled))
			requireEqual(t, "retried elsewhere", len(retries) == 1 && retries[0].Engine != silent, true)
			return
		}
	}
	t.Fatal("no attempt on the silent engine was cancelled")
}

func TestAttemptOnSilentEngineIsHedgedWhereAllowed(t *testing.T) {
	s := baseSettings()
	s.Limits.Hedging, s.Limits.MaxAttempts, s.Classes[0].LateWeight = true, 2, 0.1
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	first := actionsOf[SendAttempt](got)[0].Engine
	hedged := actionsOf[SendAttempt](h.advance(2900 * ms))
	requireEqual(t, "hedged attempts", len(hedged), 1)
	requireEqual(t, "hedged elsewhere", hedged[0].RequestID == id && hedged[0].Engine != first, true)
}

func TestAttemptWithLittleProgressIsCancelled(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.ProgressInterval = true, time.Second
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, _ := h.submit("long", h.deadlineIn(20*time.Second))
	h.now += time.Second
	progress := func(fraction float64) []Action {
		return h.handle(AttemptProgress{RequestID: id, Kind: ProgressFraction, Value: fraction})
	}
	requireEqual(t, "cancellations at good progress", countOf[CancelAttempt](progress(0.6)), 0)
	requireEqual(t, "cancellations at little progress", countOf[CancelAttempt](progress(0.01)), 1)
}

// Attempts of a disconnected client are cancelled where cancellation is supported. Their threads are released
// when they end.
func TestAttemptsOfADisconnectedClientAreCancelled(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation = true
	h := newHarness(t, s, readyEngine("e1"))
	id, _ := h.submit("quick")
	got := h.handle(ClientDisconnected{RequestID: id})
	requireEqual(t, "cancelled", slices.Contains(got, Action(CancelAttempt{RequestID: id})), true)
	requireEqual(t, "further cancellations", countOf[CancelAttempt](h.advance(5*time.Second)), 0)
	h.endAttempt(id, 0, Cancelled)
	requireEqual(t, "threads in flight", h.controller.endpoints.all[0].concurrency.ThreadsInFlight(), 0)
	requireEqual(t, "remaining requests", len(h.controller.requests.byID), 0)
	s.Limits.Cancellation = false
	h = newHarness(t, s, readyEngine("e1"))
	id, _ = h.submit("quick")
	got = h.handle(ClientDisconnected{RequestID: id})
	requireEqual(t, "cancellations where they are not supported", countOf[CancelAttempt](got), 0)
}

// Some responses get lost while others arrive. Each attempt without a response is hedged in time, and sooner
// as the estimated loss rate rises. When most responses seem lost, the engines are overloaded and nothing is
// hedged.
func TestLostResponsesAreHedgedInTime(t *testing.T) {
	s := pooledSettings()
	s.Limits.Hedging, s.Classes[0].LateWeight = true, 0.1
	h := newPooledHarness(t, s, 60)
	answer := func(id string, number int) { h.succeed(id, number, 100*ms, 100*ms) }
	var waited []time.Duration
	for i := range 120 {
		id, got := h.submit("quick")
		if countOf[SendAttempt](got) == 0 {
			continue
		}
		if i < 40 || i%4 != 0 {
			answer(id, 0)
			h.advance(100 * ms)
			continue
		}
		from := h.now
		for h.now < from+2*time.Second {
			if hedged := actionsOf[SendAttempt](h.advance(10 * ms)); len(hedged) > 0 {
				requireEqual(t, "hedged elsewhere", hedged[0].Engine != actionsOf[SendAttempt](got)[0].Engine, true)
				waited = append(waited, h.now-from)
				answer(id, 1)
				break
			}
		}
	}
	if len(waited) < 8 || waited[len(waited)-1] >= waited[0] {
		t.Fatalf("waited %v before hedged attempts, want at least 8 times and less at the end than at first", waited)
	}
	for i := range 60 { // from here on, no responses
		h.controller.outliers = outlier.NewDetector(outlier.DefaultConfig())
		recordAnswers(h.controller, &outlier.Health{}, 30+i, 10)
		h.submit("quick")
		for _, sent := range actionsOf[SendAttempt](h.advance(100 * ms)) {
			if r := h.controller.requests.byID[sent.RequestID]; r != nil && len(r.attempts) > 1 {
				t.Fatal("an attempt was hedged under overload")
			}
		}
	}
}

// An attempt is presumed lost by its age even while its engine responds to other requests, and it is
// cancelled so that it can be retried.
func TestLostResponseIsDetectedByAgeAlone(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation = true
	h := newHarness(t, s, readyEngine("e1"))
	lost, _ := h.submit("long", h.deadlineIn(5*time.Minute))
	sent := h.now
	for h.now < sent+2*time.Minute {
		id, _ := h.submit("quick")
		h.advance(50 * ms)
		h.endAttempt(id, 0, OK)
		for _, a := range h.actions {
			if cancel, ok := a.(CancelAttempt); ok && cancel.RequestID == lost {
				return
			}
		}
	}
	t.Fatal("the attempt without a response was not cancelled within 2 minutes")
}

// A few responses are enough to estimate the age at which an attempt is presumed lost.
func TestLostResponseIsDetectedAfterFewResponses(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation = true
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	h.controller.classes.all[1].Cost = workload.NewCost(0.8)
	for i := range 20 {
		id, _ := h.submit("long", h.deadlineIn(20*time.Second))
		took := time.Duration(300+i*37%200) * ms
		h.advance(took)
		h.succeed(id, 0, took, 800*ms)
	}
	id, got := h.submit("long", h.deadlineIn(20*time.Second))
	requireEqual(t, "sends", countOf[SendAttempt](got), 1)
	for sent := h.now; h.now < sent+3*time.Second; { // its objective is 3.8 s
		other, _ := h.submit("quick")
		got := h.advance(50 * ms)
		if cancelled := actionsOf[CancelAttempt](got); len(cancelled) > 0 && cancelled[0].RequestID == id {
			return
		}
		h.endAttempt(other, 0, OK)
	}
	t.Fatal("the attempt was not cancelled within 3 s, in time for a retry")
}

// recordAnswers records lost and successful responses of an engine.
func recordAnswers(c *Controller, engine *outlier.Health, lost, succeeded int) {
	for range lost {
		c.outliers.RecordLoss(engine, 1)
	}
	for range succeeded {
		c.outliers.RecordSuccess(engine, c.now, 0)
	}
}

// A cancelled attempt counts as lost only by the probability that it was. Otherwise each cancellation would
// shorten the timeouts and so cause further cancellations.
func TestCancelledAttemptsDoNotInflateTheLossRate(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.Limits.MaxAttempts = true, 4
	s.Classes[0].LateWeight = 0.5
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	for _, e := range h.controller.endpoints.all { // as after many losses
		recordAnswers(h.controller, &e.health, 15, 35)
	}
	cancelled := 0
	for i := range 600 { // all get responses, one in ten several times as slowly as the others
		id, _ := h.submit("quick")
		took := time.Duration(20+i*37%61) * ms
		if i%10 == 9 {
			took = 200 * ms
		}
		got := h.advance(took)
		if i >= 300 {
			cancelled += countOf[CancelAttempt](got)
		}
		r := h.controller.requests.byID[id]
		if n := len(r.attempts) - 1; r.attempts[n].cancelled {
			h.handle(AttemptEnded{RequestID: id, Number: n, Status: Cancelled, Duration: took})
			h.advance(took)
			h.succeed(id, n+1, 40*ms, 40*ms)
		} else {
			h.succeed(id, n, took, 40*ms)
		}
	}
	if cancelled > 40 { // the slow tenth and a few more
		t.Fatalf("%d of the last 300 attempts were cancelled, want at most 40, as none was lost", cancelled)
	}
}

// Attempts at an engine that has not responded yet are not presumed lost by age, because locks may block
// them.
func TestNewEngineLosesNoAttemptsBeforeItsFirstResponse(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.Classes[0].BlockedByDataSetLock, s.Classes[1].HoldsDataSetLock = true, true, true
	h := newHarness(t, s, readyEngine("e1"))
	for range 200 {
		id, _ := h.submit("quick")
		h.advance(20 * ms)
		h.endAttempt(id, 0, OK)
	}
	h.handle(EndpointUpdate{Engines: []Engine{readyEngine("e2")}})
	for range 4 {
		h.submit("quick")
	}
	h.advance(overdue.MinLossWait - 50*ms)
	requireEqual(t, "losses", h.controller.outliers.Losses(), 0)
}

// An attempt that is blocked by another broker's lock on its data set is cancelled and retried elsewhere. Its
// threads do not count as in flight meanwhile, and no other request of the data set is sent to the engine
// while the lock is presumed held.
func TestAttemptBlockedByALockIsRetriedElsewhere(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.Classes[0].BlockedByDataSetLock, s.Classes[1].HoldsDataSetLock = true, true, true
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	for range 200 {
		id, _ := h.submit("quick")
		h.advance(20 * ms)
		h.endAttempt(id, 0, OK)
	}
	id, got := h.submit("quick", func(r *Request) { r.DataSet = 7 })
	blocking := actionsOf[SendAttempt](got)[0].Engine
	var cancelledAfter time.Duration
	for from := h.now; cancelledAfter == 0 && h.now < from+2*time.Second; {
		other, _ := h.submit("quick", func(r *Request) { r.DataSet = 3 })
		if got := h.advance(20 * ms); countOf[CancelAttempt](got) > 0 {
			requireEqual(t, "cancelled", actionsOf[CancelAttempt](got)[0].RequestID, id)
			cancelledAfter = h.now - from
		}
		h.endAttempt(other, 0, OK)
	}
	if cancelledAfter == 0 || cancelledAfter > 400*ms {
		t.Fatalf("cancelled after %v (0: never), want at most 400ms to leave time for a retry", cancelledAfter)
	}
	requireEqual(t, "threads in flight", h.controller.endpoints.byID[blocking].concurrency.ThreadsInFlight(), 0)
	requireEqual(t, "responses presumed lost", h.controller.outliers.Losses(), 0)
	retries := actionsOf[SendAttempt](h.endAttempt(id, 0, Cancelled))
	if len(retries) != 1 || retries[0].Engine == blocking {
		t.Fatalf("retries: %v, want one at another engine than %s", retries, blocking)
	}
	for range 4 {
		_, got := h.submit("quick", func(r *Request) { r.DataSet = 7 })
		if sent := actionsOf[SendAttempt](got); len(sent) > 0 && sent[0].Engine == blocking {
			t.Fatalf("another request of the data set was sent to %s, where it is locked", blocking)
		}
	}
	h.endAttempt(id, 1, OK) // at another engine, so the lock is still presumed held
	requireEqual(t, "locked after success elsewhere", h.controller.endpoints.byID[blocking].dataSetLocked(h.now, 7), true)
	h.advance(10 * time.Second)
	requireEqual(t, "locked after 10 s", h.controller.endpoints.byID[blocking].dataSetLocked(h.now, 7), false)
}
