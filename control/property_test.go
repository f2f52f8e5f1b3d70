package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// drawSettings draws settings: every switch that a deployment may set.
func drawSettings(r *rand.Rand) Settings {
	s := baseSettings()
	flip := func() bool { return r.IntN(2) == 0 }
	s.Brokers = 1 + r.IntN(4)
	if flip() { // so many that engines are pooled
		s.Brokers = 100 + r.IntN(300)
	}
	s.BrokerIndex = r.IntN(s.Brokers)
	s.Limits = Limits{
		MaxAttempts: 1 + r.IntN(4), RetryAfter: flip(), MaxRetryAfter: time.Second, Cancellation: flip(),
		Hedging: flip(), LoadProbes: flip(), Gossip: flip(),
	}
	s.MemoryGrants, s.Priorities, s.ReportsCost, s.PollEndpointList = flip(), flip(), flip(), flip()
	if flip() {
		s.ProgressInterval = time.Second
	}
	if flip() {
		s.ReportFields = []string{"util", "inflight", "queue"}
	}
	if flip() {
		s.Tenants = nil
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		k.Idempotency, k.DedupScope = Idempotency(r.IntN(3)), DedupScope(r.IntN(3))
		k.DedupWindow, k.Ordered = time.Duration(1+r.IntN(4))*time.Second, flip()
		if r.IntN(4) == 0 {
			k.AllowedZones = []string{"b"}
		}
	}
	if flip() {
		s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetReserve = 5*time.Second, 0.1, 2
	}
	s.Rules.KeyCooldown = 300 * ms
	return s
}

type trackedAttempt struct {
	engine     Engine
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

type trackedRequest struct {
	Request
	class        Class
	attempts     []*trackedAttempt
	answerCount  int
	over         bool // closed, or its client is gone
	arrivalIndex int
}

// checkRandom feeds random legal events and checks each action against the rules that show from outside.
func checkRandom(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 9))
	s := drawSettings(rng)
	r := newRig(t, s)
	engines := map[string]Engine{}
	toldBad := map[string]bool{}
	queries := map[string]*trackedRequest{}
	var order []*trackedRequest
	var took, further []time.Duration
	rest := map[string]time.Duration{}
	check := func(acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case SendAttempt:
				q := queries[a.RequestID]
				if q == nil || q.over || q.answerCount > 0 {
					t.Fatalf("seed %d: sent %s, which is over or unknown", seed, a.RequestID)
				}
				e, known := engines[a.Engine]
				if !known || toldBad[a.Engine] {
					t.Fatalf("seed %d: sent to %s, which is not ready", seed, a.Engine)
				}
				if q.class.AllowedZones != nil && e.Zone != q.class.AllowedZones[0] {
					t.Fatalf("seed %d: placement", seed)
				}
				for _, p := range q.attempts {
					if p.inFlight && !s.Limits.Hedging {
						t.Fatalf("seed %d: two attempts at once", seed)
					}
					if !p.mayHaveRun || q.class.Idempotency == Idempotent {
						continue
					}
					same := q.class.DedupScope == DedupScopeAll || q.class.DedupScope == DedupScopeZone && p.engine.Zone == e.Zone ||
						q.class.DedupScope == DedupScopeCell && p.engine.Cell == e.Cell
					if q.class.Idempotency == NonIdempotent || !same || r.now-p.sentAt > q.class.DedupWindow {
						t.Fatalf("seed %d: an effect might happen twice", seed)
					}
				}
				if q.class.Ordered && q.OrderKey != "" {
					if len(q.attempts) == 0 && r.now < rest[q.OrderKey] {
						t.Fatalf("seed %d: sent while its key rests", seed)
					}
					for _, o := range order {
						open := !o.over && o.answerCount == 0
						for _, p := range o.attempts {
							open = open || p.inFlight
						}
						if o.class.Ordered && o.OrderKey == q.OrderKey && o.arrivalIndex < q.arrivalIndex && open {
							t.Fatalf("seed %d: out of order", seed)
						}
					}
				}
				if len(q.attempts) > 0 {
					further = append(further, r.now)
					n, m := 0, 0
					for _, at := range further {
						if at >= r.now-s.Rules.RetryBudgetWindow {
							n++
						}
					}
					for _, at := range took {
						if at > r.now-s.Rules.RetryBudgetWindow {
							m++
						}
					}
					if s.Rules.RetryBudgetWindow > 0 && float64(n) > s.Rules.RetryBudgetReserve+s.Rules.RetryBudgetRatio*float64(m) {
						t.Fatalf("seed %d: over the budget of attempts", seed)
					}
				}
				q.attempts = append(q.attempts, &trackedAttempt{engine: e, sentAt: r.now, inFlight: true, mayHaveRun: true})
				if len(q.attempts) > s.Limits.MaxAttempts {
					t.Fatalf("seed %d: too many attempts", seed)
				}
			case Reject, Fail:
				id := ""
				refused := false
				if v, ok := a.(Reject); ok {
					id, refused = v.RequestID, true
				} else {
					id = a.(Fail).RequestID
				}
				q := queries[id]
				q.answerCount++
				if q.over || q.answerCount > 1 || r.now > q.Deadline {
					t.Fatalf("seed %d: a second or late answer for %s", seed, id)
				}
				for _, p := range q.attempts {
					if refused && p.mayHaveRun && q.class.Idempotency != Idempotent &&
						!(q.class.Idempotency == IdempotentWithKey && q.class.DedupScope == DedupScopeAll) {
						t.Fatalf("seed %d: rejected %s, which may have run", seed, id)
					}
				}
			case CancelAttempt:
				if q := queries[a.RequestID]; !s.Limits.Cancellation || q == nil || a.Number >= len(q.attempts) {
					t.Fatalf("seed %d: a cancel that is not allowed", seed)
				}
			case ProbeLoad:
				if !s.Limits.LoadProbes {
					t.Fatalf("seed %d: a probe that is not allowed", seed)
				}
			}
		}
	}
	for step := range 400 {
		switch k := rng.IntN(12); {
		case k == 0:
			e := Engine{
				ID: fmt.Sprint("e", rng.IntN(4)), Zone: []string{"a", "b"}[rng.IntN(2)], Kind: "std",
				State: EngineState(max(0, rng.IntN(5)-2)),
			}
			if was, ok := engines[e.ID]; ok {
				e.Zone, e.Cell = was.Zone, was.Cell
			} else {
				e.Cell = rng.IntN(2)
			}
			if rng.IntN(3) == 0 {
				e.StartedAt = r.now
			}
			engines[e.ID], toldBad[e.ID] = e, e.State != Ready
			check(r.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{e}}))
		case k < 6:
			c := s.Classes[rng.IntN(2)]
			q := &trackedRequest{Request: Request{ID: fmt.Sprint(seed, "-", step), Class: c.Name, Deadline: r.now +
				time.Duration(200+rng.IntN(5000))*ms, EstimatedMemoryMB: float64(rng.IntN(3)) * 200}, class: c, arrivalIndex: step}
			if c.Ordered {
				q.OrderKey = fmt.Sprint("k", rng.IntN(3))
			}
			queries[q.ID] = q
			order = append(order, q)
			took = append(took, r.now)
			check(r.handle(RequestReceived{Request: q.Request}))
		case k < 10:
			q, n := drawInFlight(rng, order)
			if q == nil {
				continue
			}
			st := Status(rng.IntN(8))
			p := q.attempts[n]
			p.inFlight = false
			p.mayHaveRun = st != AtCapacity && st != ConnectFailed && st != NeverSent
			if st == TimedOut || st == ConnectionReset || st == Cancelled {
				rest[q.OrderKey] = r.now + s.Rules.KeyCooldown
			}
			closed := q.over || q.answerCount > 0 || st == OK
			q.over = q.over || st == OK
			check(r.handle(AttemptEnded{
				RequestID: q.ID, Number: n, Status: st, RequestClosed: closed, Duration: r.now - p.sentAt,
				Work: time.Duration(rng.IntN(300)) * ms, MemoryMB: 100, Report: []float64{rng.Float64() * 1.2, 3, 1},
			}))
		case k == 10:
			if q, n := drawInFlight(rng, order); q != nil {
				check(r.handle(AttemptProgress{RequestID: q.ID, Number: n, Kind: ProgressKind(1 + rng.IntN(3)), Value: rng.Float64()}))
			}
		default:
			if len(order) > 0 {
				q := order[rng.IntN(len(order))]
				if q.answerCount == 0 {
					q.over = true
				}
				check(r.handle(ClientDisconnected{RequestID: q.ID}))
			}
		}
		for range rng.IntN(20) {
			check(r.advance(5 * ms))
		}
		if rng.IntN(60) == 0 { // a standstill; guards due in it fire late, so it is short of any deadline left
			check(r.advance(5 * ms))
			still := 2 * time.Second
			for _, q := range order {
				if !q.over && q.answerCount == 0 {
					still = min(still, q.Deadline-r.now-20*ms)
				}
			}
			r.now += max(0, still)
		}
	}
	for range 1200 {
		check(r.advance(5 * ms))
	}
	for _, q := range order {
		if !q.over && q.answerCount == 0 {
			t.Fatalf("seed %d: %s was never answered", seed, q.ID)
		}
	}
	return r.actions
}

// drawInFlight chooses an attempt that is out.
func drawInFlight(rng *rand.Rand, qs []*trackedRequest) (*trackedRequest, int) {
	for range 30 {
		if len(qs) == 0 {
			break
		}
		q := qs[max(0, len(qs)-1-rng.IntN(30))]
		for n, p := range q.attempts {
			if p.inFlight {
				return q, n
			}
		}
	}
	return nil, 0
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(150) {
		a := checkRandom(t, seed)
		sends += countOf[SendAttempt](a)
		if seed%10 == 0 && !reflect.DeepEqual(a, checkRandom(t, seed)) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
	if sends < 1000 {
		t.Fatalf("only %d sends: the test judges too little", sends)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { checkRandom(t, seed) })
}
