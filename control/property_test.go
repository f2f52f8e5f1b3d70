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
func randomSettings(rng *rand.Rand) Settings {
	s := baseSettings()
	flip := func() bool { return rng.IntN(2) == 0 }
	s.Brokers = 1 + rng.IntN(4)
	if flip() { // so many brokers that engines are pooled
		s.Brokers = 100 + rng.IntN(300)
	}
	s.BrokerIndex = rng.IntN(s.Brokers)
	s.Limits = Limits{
		MaxAttempts: 1 + rng.IntN(4), RetryAfter: flip(), MaxRetryAfter: time.Second, Cancellation: flip(),
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
		class := &s.Classes[i]
		class.Idempotency.Kind = idempotency.Kind(rng.IntN(3))
		class.Idempotency.DedupScope = idempotency.Scope(rng.IntN(3))
		class.Idempotency.DedupWindow, class.Ordered = time.Duration(1+rng.IntN(4))*time.Second, flip()
		if rng.IntN(4) == 0 {
			class.AllowedZones = []string{"b"}
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
func (r *trackedRequest) open() bool { return !r.closed && r.answerCount == 0 }

// inFlight reports whether an attempt of the request is in flight.
func (r *trackedRequest) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *trackedAttempt) bool { return a.inFlight })
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
	for _, r := range c.arrivals {
		if r.open() {
			c.fatalf("request %s was never answered", r.ID)
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
			r := c.checkAnswer(a.RequestID)
			c.checkMayReject(r)
		case Fail:
			c.checkAnswer(a.RequestID)
		case CancelAttempt:
			r := c.requests[a.RequestID]
			if !c.settings.Limits.Cancellation || r == nil || a.Number >= len(r.attempts) {
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
	r := c.requests[a.RequestID]
	if r == nil || !r.open() {
		c.fatalf("sent an attempt of request %s, which is closed or unknown", a.RequestID)
	}
	e, known := c.engines[a.Engine]
	if !known || c.unavailable[a.Engine] {
		c.fatalf("sent to engine %s, which is not ready", a.Engine)
	}
	if r.class.AllowedZones != nil && e.Zone != r.class.AllowedZones[0] {
		c.fatalf("sent to zone %s, which is not allowed", e.Zone)
	}
	c.checkEarlierAttempts(r, e)
	if r.class.Ordered && r.OrderKey != "" {
		c.checkOrder(r)
	}
	if len(r.attempts) > 0 {
		c.retriedAt = append(c.retriedAt, c.now)
		c.checkRetryBudget()
	}
	r.attempts = append(r.attempts, &trackedAttempt{engine: e, sentAt: c.now, inFlight: true, mayHaveRun: true})
	if len(r.attempts) > c.settings.Limits.MaxAttempts {
		c.fatalf("%d attempts, want at most %d", len(r.attempts), c.settings.Limits.MaxAttempts)
	}
}

// checkEarlierAttempts checks that the request's earlier attempts allow another one at an engine.
func (c *ruleChecker) checkEarlierAttempts(r *trackedRequest, e Engine) {
	c.t.Helper()
	if r.inFlight() && !c.settings.Limits.Hedging {
		c.fatalf("two attempts of %s in flight, though hedging is disabled", r.ID)
	}
	policy := r.class.Idempotency
	if policy.Kind == idempotency.Idempotent {
		return
	}
	for _, a := range r.attempts {
		if !a.mayHaveRun {
			continue
		}
		inWindow := c.now-a.sentAt <= policy.DedupWindow
		if policy.Kind == idempotency.NonIdempotent || !sameScope(policy.DedupScope, a.engine, e) || !inWindow {
			c.fatalf("request %s may run twice", r.ID)
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
func (c *ruleChecker) checkOrder(r *trackedRequest) {
	c.t.Helper()
	if len(r.attempts) == 0 && c.now < c.cooldownEnd[r.OrderKey] {
		c.fatalf("request %s sent during the cooldown of its order key", r.ID)
	}
	for _, other := range c.arrivals {
		sameKey := other.class.Ordered && other.OrderKey == r.OrderKey
		if sameKey && other.arrivalIndex < r.arrivalIndex && (other.open() || other.inFlight()) {
			c.fatalf("request %s sent before %s of the same order key has ended", r.ID, other.ID)
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
	r := c.requests[id]
	r.answerCount++
	if r.closed || r.answerCount > 1 || c.now > r.Deadline {
		c.fatalf("second or late answer to request %s", id)
	}
	return r
}

// checkMayReject checks that a retry by the client of a rejected request is harmless.
func (c *ruleChecker) checkMayReject(r *trackedRequest) {
	c.t.Helper()
	policy := r.class.Idempotency
	if policy.Kind == idempotency.Idempotent ||
		policy.Kind == idempotency.IdempotentWithKey && policy.DedupScope == idempotency.ScopeAll {
		return
	}
	if slices.ContainsFunc(r.attempts, func(a *trackedAttempt) bool { return a.mayHaveRun }) {
		c.fatalf("rejected request %s, which may have run", r.ID)
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
