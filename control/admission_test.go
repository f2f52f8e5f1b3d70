package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"wheatlane/control/admission"
)

func TestRequestsThatMissTheirObjectiveAreRejectedUnderPressure(t *testing.T) {
	h := newHarnessUnderPressure(t)
	rejected := 0
	for range 200 {
		_, got := h.submit("quick")
		rejected += countOf[Reject](got)
	}
	e := h.controller.endpoints.all[0]
	inFlight, limit := e.concurrency.ThreadsInFlight(), e.concurrency.Limit()
	if float64(inFlight) > limit || rejected == 0 {
		t.Fatalf("%d threads in flight, want at most the limit of %.1f; %d requests rejected, want at least 1",
			inFlight, limit, rejected)
	}
}

// Under pressure, a tenant within its share is not rejected because of the queue of a tenant that exceeds its
// own share.
func TestTenantWithinItsShareIsNotRejectedForAnother(t *testing.T) {
	h := newHarnessUnderPressure(t)
	rejected := 0
	for range 200 {
		_, got := h.submit("quick")
		rejected += countOf[Reject](got)
	}
	_, got := h.submit("quick", func(r *Request) { r.Tenant = "t1" })
	if other := countOf[Reject](got); rejected == 0 || other > 0 {
		t.Fatalf("%d requests of the tenant over its share were rejected, want at least 1; %d of the other, want 0",
			rejected, other)
	}
}

// Requests of an unknown tenant are not charged to any tenant of the settings and have a share of their own.
func TestUnknownTenantIsNotChargedToOtherTenants(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	for _, name := range []string{"nobody", "", "t0"} {
		_, got := h.submit("quick", func(r *Request) { r.Tenant = name })
		requireEqual(t, "sent for "+name, countOf[SendAttempt](got), 1)
	}
	tenants := h.controller.workload.Tenants()
	requireEqual(t, "requests charged to t0", tenants.Arrivals(0), 1)
	requireEqual(t, "requests charged to t1", tenants.Arrivals(1), 0)
	requireEqual(t, "requests charged to unknown tenants", tenants.Arrivals(2), 2)
	requireEqual(t, "share of unknown tenants", tenants.Share(2), 0.25)
}

// Where engines are pooled, a request that cannot meet its objective is rejected immediately, without load
// probes.
func TestRejectedRequestIsNotProbedFor(t *testing.T) {
	s := pooledSettings()
	s.Limits.LoadProbes, s.EnginesReportLoad = true, true
	h := newPooledHarness(t, s, 60)
	h.advance(2 * controlInterval)
	rejected, probedFor := 0, 0
	for range 400 { // without responses, the pool's queue grows until requests cannot meet their objective
		id, got := h.submit("long")
		for _, f := range actionsOf[Reject](got) { // immediately: in the batch in which it arrives
			if f.RequestID == id {
				rejected++
				probedFor += min(1, countOf[ProbeLoad](got))
			}
		}
		h.advance(10 * ms)
	}
	if rejected < 100 || probedFor > 0 {
		t.Fatalf("%d requests rejected immediately, want at least 100; %d of them caused probes, want 0",
			rejected, probedFor)
	}
}

// workKinds is the number of kinds of requests of a mixedLoadHarness. Kind n has 0.1 s * 2^n of work.
const workKinds = 6

func workOf(kind int) time.Duration { return time.Duration(100<<kind) * ms }

// mixedLoadHarness is a harness with light and heavy requests, whose engines complete all attempts.
type mixedLoadHarness struct {
	*harness
	kinds    map[string]int           // kinds of requests by ID
	endAt    map[string]time.Duration // end times of attempts in flight by request ID
	rejected [workKinds]int
}

// submitKind submits a request and lets time pass until the next one.
func (l *mixedLoadHarness) submitKind(kind int) {
	id, got := l.submit("long", func(r *Request) {
		r.EstimatedWork, r.Deadline = workOf(kind), l.now+20*time.Second
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

// When capacity is short, the admission price rejects the heaviest of requests with the same weight first. It
// does not apply where the weight scales with the work, and it falls to its minimum when there is headroom.
func TestHeaviestRequestsAreRejectedFirst(t *testing.T) {
	for name, byWork := range map[string]bool{"weight by class": false, "weight scales with work": true} {
		t.Run(name, func(t *testing.T) {
			s := fleetSettings()
			s.WeightScalesWithWork, s.Limits.LoadProbes = byWork, false
			h := newPooledHarness(t, s, 60)
			h.advance(2 * controlInterval)
			load := &mixedLoadHarness{harness: h, kinds: map[string]int{}, endAt: map[string]time.Duration{}}
			for i := range 1200 { // 10 s of work per second on two threads, ten times the broker's capacity
				load.submitKind(i * 5 % workKinds)
			}
			rejected := load.rejected
			if !byWork && rejected[5] < 4*(rejected[0]+1) {
				t.Errorf("rejections from the lightest to the heaviest kind: %v, want over 4 times as many of the heaviest",
					rejected)
			}
			heaviest := &request{class: h.controller.classes.all[0], expectedWork: 1e6}
			if byWork && h.controller.exceedsAdmissionPrice(heaviest) {
				t.Error("a request exceeded the admission price though its weight scales with its work")
			}
			highest := h.controller.price
			h.advance(100 * controlInterval)
			requireEqual(t, "price with headroom", h.controller.price, admission.NewPrice())
			if highest == admission.NewPrice() {
				t.Errorf("price %v under overload, want more than the initial price", highest)
			}
		})
	}
}

// Once most clients disconnect before their deadline, the objective ends at the time at which they do. It
// recovers once clients stay connected.
func TestObjectiveFollowsClientDisconnects(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	objective := func() time.Duration {
		id, _ := h.submit("quick")
		left := h.controller.requests.byID[id].objectiveDeadline - h.now
		h.endAttempt(id, 0, OK)
		return left
	}
	before := objective()
	disconnect := func() {
		id, _ := h.submit("quick")
		h.advance(200 * ms)
		h.handle(ClientDisconnected{RequestID: id})
		h.endAttempt(id, 0, OK)
	}
	for range 50 {
		disconnect()
		for range 9 {
			if got := objective(); got < 500*ms {
				t.Fatalf("objective ends in %v, want at least 500ms while most clients stay", got)
			}
		}
	}
	for range 50 {
		disconnect()
	}
	if got := objective(); got < 150*ms || got > 250*ms {
		t.Fatalf("objective ends in %v, want about 200ms, after which clients disconnect (initially %v)", got, before)
	}
	for range 200 {
		objective()
	}
	if got := objective(); got < 500*ms {
		t.Fatalf("objective ends in %v, want at least 500ms once clients stay again", got)
	}
}

// Where the settings enable it, each rejection includes a delay before a retry, within the configured
// maximum.
func TestRejectionIncludesRetryAfterWhereConfigured(t *testing.T) {
	for name, retryAfter := range map[string]bool{"enabled": true, "disabled": false} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.Limits.RetryAfter, s.Limits.MaxRetryAfter = retryAfter, 500*ms
			h := newHarness(t, s) // without engines
			h.submit("quick")
			rejected := actionsOf[Reject](h.advance(5 * time.Second))
			requireEqual(t, "rejections", len(rejected), 1)
			got := rejected[0].RetryAfter
			if retryAfter && (got < 250*ms || got > 500*ms) || !retryAfter && got != 0 {
				t.Errorf("retry after %v, want 250ms to 500ms if enabled (%v), else 0", got, retryAfter)
			}
		})
	}
}
