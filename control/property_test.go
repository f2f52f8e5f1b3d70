package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"wheatlane/control/idempotency"
)

// randomSettings returns settings in which every option of a deployment is drawn at random.
func randomSettings(r *rand.Rand) Settings {
	s := baseSettings()
	flip := func() bool { return r.IntN(2) == 0 }
	s.Brokers = 1 + r.IntN(4)
	if flip() { // so many brokers that engines are pooled
		s.Brokers = 100 + r.IntN(300)
	}
	s.BrokerIndex = r.IntN(s.Brokers)
	s.Limits = Limits{
		MaxAttempts: 1 + r.IntN(4), RetryAfter: flip(), MaxRetryAfter: time.Second, Cancellation: flip(),
		Hedging: flip(), LoadProbes: flip(), Gossip: flip(),
	}
	s.MemoryGrants, s.Priorities, s.EnginesReportCost, s.WatchEndpointList = flip(), flip(), flip(), flip()
	if flip() {
		s.ProgressInterval = time.Second
	}
	if flip() {
		s.EnginesReportLoad = true
	}
	if flip() {
		s.Tenants = nil
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		k.Idempotency.Kind = idempotency.Kind(r.IntN(3))
		k.Idempotency.DedupScope = idempotency.Scope(r.IntN(3))
		k.Idempotency.DedupWindow, k.Ordered = time.Duration(1+r.IntN(4))*time.Second, flip()
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

// trackedAttempt is an attempt as observed from outside the controller.
type trackedAttempt struct {
	engine     Engine
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

// trackedRequest is a request as observed from outside the controller.
type trackedRequest struct {
	Request
	class        Class
	attempts     []*trackedAttempt
	answerCount  int
	closed       bool // has its final response, or its client has disconnected
	arrivalIndex int
}

// open reports whether the request has no final response yet.
func (q *trackedRequest) open() bool { return !q.closed && q.answerCount == 0 }

// inFlight reports whether an attempt of the request is in flight.
func (q *trackedRequest) inFlight() bool {
	return slices.ContainsFunc(q.attempts, func(a *trackedAttempt) bool { return a.inFlight })
}

// ruleChecker passes random valid events to a controller and checks each action against the rules that can be
// verified from outside.
type ruleChecker struct {
	*harness
	seed        uint64
	rng         *rand.Rand
	settings    Settings
	engines     map[string]Engine
	unavailable map[string]bool // engines that were reported as draining or removed
	requests    map[string]*trackedRequest
	arrivals    []*trackedRequest // requests in the order of their arrival
	arrivedAt   []time.Duration
	retriedAt   []time.Duration
	cooldownEnd map[string]time.Duration // by order key
}

// checkRandom checks the rules under the events of one seed and returns all actions.
func checkRandom(t *testing.T, seed uint64) []Action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	settings := randomSettings(rng)
	c := &ruleChecker{
		harness: newHarness(t, settings), seed: seed, rng: rng, settings: settings,
		engines: map[string]Engine{}, unavailable: map[string]bool{}, requests: map[string]*trackedRequest{},
		cooldownEnd: map[string]time.Duration{},
	}
	for step := range 400 {
		if !c.handleRandomEvent(step) {
			continue
		}
		for range rng.IntN(20) {
			c.check(c.advance(5 * ms))
		}
		if rng.IntN(60) == 0 {
			c.pauseProcess()
		}
	}
	for range 1200 {
		c.check(c.advance(5 * ms))
	}
	for _, q := range c.arrivals {
		if q.open() {
			c.fatalf("request %s was never answered", q.ID)
		}
	}
	return c.actions
}

func (c *ruleChecker) fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d: %s", c.seed, fmt.Sprintf(format, args...))
}

// check checks actions against the rules.
func (c *ruleChecker) check(actions []Action) {
	c.t.Helper()
	for _, action := range actions {
		switch a := action.(type) {
		case SendAttempt:
			c.checkSend(a)
		case Reject:
			q := c.checkAnswer(a.RequestID)
			c.checkMayReject(q)
		case Fail:
			c.checkAnswer(a.RequestID)
		case CancelAttempt:
			q := c.requests[a.RequestID]
			if !c.settings.Limits.Cancellation || q == nil || a.Number >= len(q.attempts) {
				c.fatalf("attempt %d of request %s cancelled: cancellation is not supported or the attempt is unknown",
					a.Number, a.RequestID)
			}
		case ProbeLoad:
			if !c.settings.Limits.LoadProbes {
				c.fatalf("load probe of %s, though probes are disabled", a.Engine)
			}
		}
	}
}

func (c *ruleChecker) checkSend(a SendAttempt) {
	c.t.Helper()
	q := c.requests[a.RequestID]
	if q == nil || !q.open() {
		c.fatalf("sent an attempt of request %s, which is closed or unknown", a.RequestID)
	}
	e, known := c.engines[a.Engine]
	if !known || c.unavailable[a.Engine] {
		c.fatalf("sent to engine %s, which is not ready", a.Engine)
	}
	if q.class.AllowedZones != nil && e.Zone != q.class.AllowedZones[0] {
		c.fatalf("sent to zone %s, which is not allowed", e.Zone)
	}
	c.checkEarlierAttempts(q, e)
	if q.class.Ordered && q.OrderKey != "" {
		c.checkOrder(q)
	}
	if len(q.attempts) > 0 {
		c.retriedAt = append(c.retriedAt, c.now)
		c.checkRetryBudget()
	}
	q.attempts = append(q.attempts, &trackedAttempt{engine: e, sentAt: c.now, inFlight: true, mayHaveRun: true})
	if len(q.attempts) > c.settings.Limits.MaxAttempts {
		c.fatalf("%d attempts, want at most %d", len(q.attempts), c.settings.Limits.MaxAttempts)
	}
}

// checkEarlierAttempts checks that the request's earlier attempts allow another one at an engine.
func (c *ruleChecker) checkEarlierAttempts(q *trackedRequest, e Engine) {
	c.t.Helper()
	if q.inFlight() && !c.settings.Limits.Hedging {
		c.fatalf("two attempts of %s in flight, though hedging is disabled", q.ID)
	}
	policy := q.class.Idempotency
	if policy.Kind == idempotency.Idempotent {
		return
	}
	for _, a := range q.attempts {
		if !a.mayHaveRun {
			continue
		}
		inWindow := c.now-a.sentAt <= policy.DedupWindow
		if policy.Kind == idempotency.NonIdempotent || !sameScope(policy.DedupScope, a.engine, e) || !inWindow {
			c.fatalf("request %s may run twice", q.ID)
		}
	}
}

// sameScope reports whether two engines detect one another's duplicates.
func sameScope(scope idempotency.Scope, a, b Engine) bool {
	return scope == idempotency.ScopeAll || scope == idempotency.ScopeZone && a.Zone == b.Zone ||
		scope == idempotency.ScopeCell && a.Cell == b.Cell
}

// checkOrder checks that a request is sent after the earlier requests of its order key and after the
// cooldown.
func (c *ruleChecker) checkOrder(q *trackedRequest) {
	c.t.Helper()
	if len(q.attempts) == 0 && c.now < c.cooldownEnd[q.OrderKey] {
		c.fatalf("request %s sent during the cooldown of its order key", q.ID)
	}
	for _, o := range c.arrivals {
		sameKey := o.class.Ordered && o.OrderKey == q.OrderKey
		if sameKey && o.arrivalIndex < q.arrivalIndex && (o.open() || o.inFlight()) {
			c.fatalf("request %s sent before %s of the same order key has ended", q.ID, o.ID)
		}
	}
}

func (c *ruleChecker) checkRetryBudget() {
	c.t.Helper()
	rules := c.settings.Rules
	from := c.now - rules.RetryBudgetWindow
	retries, requests := 0, 0
	for _, at := range c.retriedAt {
		if at >= from {
			retries++
		}
	}
	for _, at := range c.arrivedAt {
		if at > from {
			requests++
		}
	}
	budget := rules.RetryBudgetReserve + rules.RetryBudgetRatio*float64(requests)
	if rules.RetryBudgetWindow > 0 && float64(retries) > budget {
		c.fatalf("%d retries, want at most the retry budget of %.1f", retries, budget)
	}
}

// checkAnswer checks that a rejection or failure is the only final response to its request and not late.
func (c *ruleChecker) checkAnswer(id string) *trackedRequest {
	c.t.Helper()
	q := c.requests[id]
	q.answerCount++
	if q.closed || q.answerCount > 1 || c.now > q.Deadline {
		c.fatalf("second or late answer to request %s", id)
	}
	return q
}

// checkMayReject checks that a retry by the client of a rejected request is harmless.
func (c *ruleChecker) checkMayReject(q *trackedRequest) {
	c.t.Helper()
	policy := q.class.Idempotency
	if policy.Kind == idempotency.Idempotent ||
		policy.Kind == idempotency.WithKey && policy.DedupScope == idempotency.ScopeAll {
		return
	}
	if slices.ContainsFunc(q.attempts, func(a *trackedAttempt) bool { return a.mayHaveRun }) {
		c.fatalf("rejected request %s, which may have run", q.ID)
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	sends := 0
	for seed := range uint64(150) {
		a := checkRandom(t, seed)
		sends += countOf[SendAttempt](a)
		if seed%10 == 0 && !reflect.DeepEqual(a, checkRandom(t, seed)) {
			t.Fatalf("seed %d: equal events gave different actions", seed)
		}
	}
	if sends < 1000 {
		t.Fatalf("%d sends, want at least 1000 for a meaningful check", sends)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { checkRandom(t, seed) })
}
