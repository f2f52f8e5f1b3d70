package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"wheatlane/control/admission"
)

func TestPressureRejectsWhatCannotMeetItsObjective(t *testing.T) {
	h := newHarnessUnderPressure(t)
	rejected := 0
	for range 200 {
		_, got := h.submit("quick")
		rejected += countOf[Reject](got)
	}
	e := h.controller.endpoints.all[0]
	inFlight, limit := e.concurrency.ThreadsInFlight(), e.concurrency.Limit()
	if float64(inFlight) > limit || rejected == 0 {
		t.Fatalf("%d threads under a limit of %.1f, %d rejected", inFlight, limit, rejected)
	}
}

// Under pressure, a tenant that keeps within its share is not rejected for the queue of another that exceeds
// its own.
func TestTenantWithinItsShareIsNotRejectedForAnother(t *testing.T) {
	h := newHarnessUnderPressure(t)
	rejected := 0
	for range 200 {
		_, got := h.submit("quick")
		rejected += countOf[Reject](got)
	}
	_, got := h.submit("quick", func(q *Request) { q.Tenant = "t1" })
	if other := countOf[Reject](got); rejected == 0 || other > 0 {
		t.Fatalf("%d of the one that asks too much were rejected, and %d of the other", rejected, other)
	}
}

// Requests of an unknown tenant are charged to no tenant of the settings, and queue behind no share but their
// own.
func TestUnknownTenantIsChargedToNoOther(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	for _, name := range []string{"nobody", "", "t0"} {
		_, got := h.submit("quick", func(q *Request) { q.Tenant = name })
		requireEqual(t, "sent for "+name, countOf[SendAttempt](got), 1)
	}
	tenants := h.controller.workload.Tenants()
	requireEqual(t, "charged to t0", tenants.Arrivals(0), 1)
	requireEqual(t, "charged to t1", tenants.Arrivals(1), 0)
	requireEqual(t, "charged to the unknown", tenants.Arrivals(2), 2)
	requireEqual(t, "share of the unknown", tenants.Share(2), 0.25)
}

// Where engines are pooled, a request that cannot meet its objective is rejected at once and without a load
// probe.
func TestRejectedRequestIsNotProbedFor(t *testing.T) {
	s := pooledSettings()
	s.Limits.LoadProbes, s.EnginesReportLoad = true, true
	h := newPooledHarness(t, s, 60)
	h.advance(2 * controlInterval)
	rejected, probedFor := 0, 0
	for range 400 { // nothing is answered: the pool's queue grows until requests cannot meet their objective
		id, got := h.submit("long")
		for _, f := range actionsOf[Reject](got) { // at once: in the batch in which it arrives
			if f.RequestID == id {
				rejected++
				probedFor += min(1, countOf[ProbeLoad](got))
			}
		}
		h.advance(10 * ms)
	}
	if rejected < 100 || probedFor > 0 {
		t.Fatalf("of %d requests rejected at once, %d were probed for", rejected, probedFor)
	}
}

// workKinds is how many kinds of requests a mixedLoad has: kind n takes 0.1 s of work times two to the power of n.
const workKinds = 6

func workOf(kind int) time.Duration { return time.Duration(100<<kind) * ms }

// mixedLoadHarness is a rig whose requests are light and heavy, and whose engines serve all attempts.
type mixedLoadHarness struct {
	*harness
	kinds    map[string]int           // of requests, by ID
	endAt    map[string]time.Duration // of attempts in flight, by the ID of their request
	rejected [workKinds]int
}

// submitKind submits a request and lets time pass until the next one.
func (l *mixedLoadHarness) submitKind(kind int) {
	id, got := l.submit("long", func(q *Request) {
		q.EstimatedWork, q.Deadline = workOf(kind), l.now+20*time.Second
	})
	l.kinds[id] = kind
	l.record(got)
	l.record(l.advance(100 * ms))
	for _, id := range slices.Sorted(maps.Keys(l.endAt)) {
		if l.endAt[id] <= l.now {
			delete(l.endAt, id)
			work := workOf(l.kinds[id])
			l.record(l.succeed(id, 0, work/2, work))
		}
	}
}

func (l *mixedLoadHarness) record(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendAttempt:
			l.endAt[a.RequestID] = l.now + workOf(l.kinds[a.RequestID])/2
		case Reject:
			l.rejected[l.kinds[a.RequestID]]++
		}
	}
}

// Short of capacity, the heaviest of requests with the same weight are rejected first, by the admission
// price. Where the weight grows with the work there is no such price, and with headroom it falls back to its
// minimum.
func TestHeaviestRequestsAreRejectedFirst(t *testing.T) {
	for name, byWork := range map[string]bool{"weights by class": false, "weights by work": true} {
		t.Run(name, func(t *testing.T) {
			s := fleetSettings()
			s.WeightScalesWithWork, s.Limits.LoadProbes = byWork, false
			h := newPooledHarness(t, s, 60)
			h.advance(2 * controlInterval)
			load := &mixedLoadHarness{harness: h, kinds: map[string]int{}, endAt: map[string]time.Duration{}}
			for i := range 1200 { // 10 s of work a second on two threads, for a broker with capacity for a tenth
				load.submitKind(i * 5 % workKinds)
			}
			rejected := load.rejected
			if !byWork && rejected[5] < 4*(rejected[0]+1) {
				t.Errorf("rejected, from the lightest to the heaviest: %v", rejected)
			}
			heaviest := &request{class: h.controller.classes.all[0], expectedWork: 1e6}
			if byWork && h.controller.exceedsAdmissionPrice(heaviest) {
				t.Error("where the weight grows with the work, a request exceeded the admission price")
			}
			highest := h.controller.price
			h.advance(100 * controlInterval)
			requireEqual(t, "price with headroom", h.controller.price, admission.NewPrice())
			if highest == admission.NewPrice() {
				t.Errorf("the price never rose: %v", highest)
			}
		})
	}
}

// Once most clients disconnect before their deadline, the objective ends when they do; it recovers once clients
// stay.
func TestClientPatienceIsLearned(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	objective := func() time.Duration {
		id, _ := h.submit("quick")
		left := h.controller.requests.byID[id].objectiveDeadline - h.now
		h.endAttempt(id, 0, OK)
		return left
	}
	before := objective()
	leave := func() {
		id, _ := h.submit("quick")
		h.advance(200 * ms)
		h.handle(ClientDisconnected{RequestID: id})
		h.endAttempt(id, 0, OK)
	}
	for range 50 {
		leave()
		for range 9 {
			if got := objective(); got < 500*ms {
				t.Fatalf("objective in %v, though most clients stay", got)
			}
		}
	}
	for range 50 {
		leave()
	}
	if got := objective(); got < 150*ms || got > 250*ms {
		t.Fatalf("objective in %v, want the 200ms that clients stay (before %v)", got, before)
	}
	for range 200 {
		objective()
	}
	if got := objective(); got < 500*ms {
		t.Fatalf("objective in %v, want it as set: clients stay", got)
	}
}

// Where clients follow a time to retry after, each rejection gives one, within what the settings allow.
func TestRejectionGivesATimeToRetryAfter(t *testing.T) {
	for name, retryAfter := range map[string]bool{"where clients follow it": true, "where they don't": false} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.Limits.RetryAfter, s.Limits.MaxRetryAfter = retryAfter, 500*ms
			h := newHarness(t, s) // without an engine
			h.submit("quick")
			rejected := actionsOf[Reject](h.advance(5 * time.Second))
			requireEqual(t, "rejections", len(rejected), 1)
			got := rejected[0].RetryAfter
			if retryAfter && (got < 250*ms || got > 500*ms) || !retryAfter && got != 0 {
				t.Errorf("retry after %v", got)
			}
		})
	}
}
