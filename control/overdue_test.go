package control

import (
	"slices"
	"testing"
	"time"

	"wheatlane/control/outlier"
	"wheatlane/control/overdue"
	"wheatlane/control/workload"
)

func TestSilentEngineIsLeftAndItsAttemptsCancelled(t *testing.T) {
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
			const expectedLossRate = 0.01 // of an engine of which nothing is known
			requireEqual(t, "estimated to lose answers", lossRate > 10*expectedLossRate, true)
			retries := actionsOf[SendAttempt](h.endAttempt(id, 0, Cancelled))
			requireEqual(t, "retried elsewhere", len(retries) == 1 && retries[0].Engine != silent, true)
			return
		}
	}
	t.Fatal("no attempt on the silent engine was cancelled")
}

func TestSilentEngineIsHedgedWhereAllowed(t *testing.T) {
	s := baseSettings()
	s.Limits.Hedging, s.Limits.MaxAttempts, s.Classes[0].LateWeight = true, 2, 0.1
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	first := actionsOf[SendAttempt](got)[0].Engine
	hedged := actionsOf[SendAttempt](h.advance(2900 * ms))
	requireEqual(t, "hedged attempts", len(hedged), 1)
	requireEqual(t, "elsewhere", hedged[0].RequestID == id && hedged[0].Engine != first, true)
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
	requireEqual(t, "at good progress", countOf[CancelAttempt](progress(0.6)), 0)
	requireEqual(t, "at little progress", countOf[CancelAttempt](progress(0.01)), 1)
}

// Attempts of a disconnected client are cancelled where cancelling is supported; their threads are free once
// they end.
func TestAttemptsOfADisconnectedClientAreCancelled(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation = true
	h := newHarness(t, s, readyEngine("e1"))
	id, _ := h.submit("quick")
	got := h.handle(ClientDisconnected{RequestID: id})
	requireEqual(t, "cancelled", slices.Contains(got, Action(CancelAttempt{RequestID: id})), true)
	requireEqual(t, "once", countOf[CancelAttempt](h.advance(5*time.Second)), 0)
	h.endAttempt(id, 0, Cancelled)
	requireEqual(t, "threads", h.controller.endpoints.all[0].concurrency.ThreadsInFlight(), 0)
	requireEqual(t, "requests kept", len(h.controller.requests.byID), 0)
	s.Limits.Cancellation = false
	h = newHarness(t, s, readyEngine("e1"))
	id, _ = h.submit("quick")
	got = h.handle(ClientDisconnected{RequestID: id})
	requireEqual(t, "where it is not supported", countOf[CancelAttempt](got), 0)
}

// Answers get lost while others arrive: each lost one is hedged in time, and the loss rate is learned, so
// that the next is hedged sooner. When most look lost it is an overload, and nothing is hedged.
func TestLostAnswersAreHedgedInTime(t *testing.T) {
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
				requireEqual(t, "elsewhere", hedged[0].Engine != actionsOf[SendAttempt](got)[0].Engine, true)
				waited = append(waited, h.now-from)
				answer(id, 1)
				break
			}
		}
	}
	if len(waited) < 8 || waited[len(waited)-1] >= waited[0] {
		t.Fatalf("waited %v before hedged attempts", waited)
	}
	for i := range 60 { // now no answer comes
		h.controller.outliers = outlier.NewDetector(outlier.DefaultConfig())
		recordAnswers(h.controller, &outlier.Health{}, 30+i, 10)
		h.submit("quick")
		for _, sent := range actionsOf[SendAttempt](h.advance(100 * ms)) {
			if q := h.controller.requests.byID[sent.RequestID]; q != nil && len(q.attempts) > 1 {
				t.Fatal("a hedged attempt under overload")
			}
		}
	}
}

// By its age an attempt is lost whether its engine answers others or not, and is retried elsewhere.
func TestLostAnswerIsDetectedByAgeAlone(t *testing.T) {
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
	t.Fatal("the lost answer was not detected")
}

// The age at which an attempt is lost is known after a few answers.
func TestLostAnswerIsDetectedAfterFewAnswers(t *testing.T) {
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
	t.Fatal("the attempt was not cancelled in time for a retry")
}

// recordAnswers records answers of an engine, some lost and some not.
func recordAnswers(c *Controller, engine *outlier.Health, lost, served int) {
	for range lost {
		c.outliers.RecordLoss(engine, 1)
	}
	for range served {
		c.outliers.RecordSuccess(engine, c.now, 0)
	}
}

// An attempt that is cancelled early counts as lost by the probability of that only: else each
// cancelled attempt would shorten the timeouts, and so have more attempts cancelled.
func TestLossEstimateDoesNotFeedOnItself(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.Limits.MaxAttempts = true, 4
	s.Classes[0].LateWeight = 0.5
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	for _, e := range h.controller.endpoints.all { // as after many losses
		recordAnswers(h.controller, &e.health, 15, 35)
	}
	cancelled := 0
	for i := range 600 { // each is answered, one in ten several times as slowly as the rest
		id, _ := h.submit("quick")
		took := time.Duration(20+i*37%61) * ms
		if i%10 == 9 {
			took = 200 * ms
		}
		got := h.advance(took)
		if i >= 300 {
			cancelled += countOf[CancelAttempt](got)
		}
		q := h.controller.requests.byID[id]
		if n := len(q.attempts) - 1; q.attempts[n].cancelled {
			h.handle(AttemptEnded{RequestID: id, Number: n, Status: Cancelled, Duration: took})
			h.advance(took)
			h.succeed(id, n+1, 40*ms, 40*ms)
		} else {
			h.succeed(id, n, took, 40*ms)
		}
	}
	if cancelled > 40 { // the slow tenth and not many more
		t.Fatalf("%d of the last 300 were cancelled, and none was lost", cancelled)
	}
}

// An engine that has not answered yet loses no attempts by age: they may be blocked by locks.
func TestEngineHasTimeForItsFirstAnswer(t *testing.T) {
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

// An attempt that stands behind another broker's lock on its data set is cancelled and retried elsewhere,
// does not count as threads in flight meanwhile, and no other request of the data set goes there while the
// lock is presumed held.
func TestAttemptBlockedByALockIsRetriedElsewhere(t *testing.T) {
	s := baseSettings()
	s.Limits.Cancellation, s.Classes[0].BlockedByDataSetLock, s.Classes[1].HoldsDataSetLock = true, true, true
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	for range 200 {
		id, _ := h.submit("quick")
		h.advance(20 * ms)
		h.endAttempt(id, 0, OK)
	}
	id, got := h.submit("quick", func(q *Request) { q.DataSet = 7 })
	blocking := actionsOf[SendAttempt](got)[0].Engine
	var cancelledAfter time.Duration
	for from := h.now; cancelledAfter == 0 && h.now < from+2*time.Second; {
		other, _ := h.submit("quick", func(q *Request) { q.DataSet = 3 })
		if got := h.advance(20 * ms); countOf[CancelAttempt](got) > 0 {
			requireEqual(t, "cancelled", actionsOf[CancelAttempt](got)[0].RequestID, id)
			cancelledAfter = h.now - from
		}
		h.endAttempt(other, 0, OK)
	}
	if cancelledAfter == 0 || cancelledAfter > 400*ms {
		t.Fatalf("cancelled after %v, which leaves no time for a retry", cancelledAfter)
	}
	requireEqual(t, "threads in flight", h.controller.endpoints.byID[blocking].concurrency.ThreadsInFlight(), 0)
	requireEqual(t, "losses", h.controller.outliers.Losses(), 0)
	retries := actionsOf[SendAttempt](h.endAttempt(id, 0, Cancelled))
	if len(retries) != 1 || retries[0].Engine == blocking {
		t.Fatalf("retries: %v, want one, and not at %s", retries, blocking)
	}
	for range 4 {
		_, got := h.submit("quick", func(q *Request) { q.DataSet = 7 })
		if sent := actionsOf[SendAttempt](got); len(sent) > 0 && sent[0].Engine == blocking {
			t.Fatal("another request went where the data set is locked")
		}
	}
	h.endAttempt(id, 1, OK) // elsewhere, which says nothing of the lock
	requireEqual(t, "locked", h.controller.endpoints.byID[blocking].dataSetLocked(h.now, 7), true)
	h.advance(10 * time.Second)
	requireEqual(t, "still locked", h.controller.endpoints.byID[blocking].dataSetLocked(h.now, 7), false)
}
