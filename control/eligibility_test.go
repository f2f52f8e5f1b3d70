package control

import (
	"testing"
	"time"

	"wheatlane/control/idempotency"
)

func TestNonIdempotentRequestIsNotRetriedOnceItMayHaveRun(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency.Kind = idempotency.NonIdempotent
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, _ := h.submit("quick")
	got := h.endAttempt(id, 0, Failed)
	requireEqual(t, "immediate failures", countOf[Fail](got), 1)
	got = append(got, h.advance(4*time.Second)...)
	requireEqual(t, "retries", countOf[SendAttempt](got), 0)
	requireEqual(t, "rejections", countOf[Reject](got), 0)
	requireEqual(t, "failures", countOf[Fail](got), 1)
	id, _ = h.submit("quick")
	got = h.endAttempt(id, 0, ConnectFailed)
	requireEqual(t, "retries of a request that never ran", countOf[SendAttempt](got), 1)
}

func TestIdempotentWithKeyStaysInDedupScopeAndWindow(t *testing.T) {
	for name, scope := range map[string]idempotency.Scope{
		"zone": idempotency.ScopeZone, "cell": idempotency.ScopeCell,
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			class := &s.Classes[0]
			class.Idempotency = idempotency.Policy{
				Kind: idempotency.IdempotentWithKey, DedupScope: scope, DedupWindow: time.Second,
			}
			outside := readyEngine("e3")
			outside.Zone, outside.Cell = "b", 1
			h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"), outside)
			id, got := h.submit("quick")
			first := actionsOf[SendAttempt](got)[0].Engine
			again := actionsOf[SendAttempt](h.endAttempt(id, 0, Failed))
			if first == "e3" {
				requireEqual(t, "engine", again[0].Engine, "e3")
			} else if again[0].Engine == "e3" {
				t.Fatal("retried on e3, outside the dedup scope of the first attempt")
			}
			h.advance(1100 * ms)
			got = append(h.endAttempt(id, 1, Failed), h.advance(3*time.Second)...)
			requireEqual(t, "sends after the window", countOf[SendAttempt](got), 0)
			requireEqual(t, "failures", countOf[Fail](got), 1)
		})
	}
}

// A request that may not be retried gets its final response immediately, not at its deadline.
func TestRequestWithoutPermittedRetryIsAnsweredImmediately(t *testing.T) {
	nonIdempotent := idempotency.Policy{Kind: idempotency.NonIdempotent}
	withKey := idempotency.Policy{Kind: idempotency.IdempotentWithKey, DedupWindow: time.Second}
	withKeyForZone := withKey
	withKeyForZone.DedupScope = idempotency.ScopeZone
	for name, c := range map[string]struct {
		idempotency          idempotency.Policy
		after                time.Duration // duration of the first attempt
		status               Status
		failures, rejections int
	}{
		"non-idempotent, connection reset":       {nonIdempotent, 0, ConnectionReset, 1, 0},
		"non-idempotent, timed out":              {nonIdempotent, 0, TimedOut, 1, 0},
		"key in all zones, after the window":     {withKey, 1100 * ms, Failed, 0, 1},
		"key in one zone, after the window":      {withKeyForZone, 1100 * ms, Failed, 1, 0},
		"key, retry may be sent past the window": {withKey, 750 * ms, Failed, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.MaxSendDelay = 300 * ms // a retry decided after 750 ms may be sent after the window
			s.Classes[1].Idempotency = c.idempotency
			h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
			id, _ := h.submit("long", h.deadlineIn(20*time.Second))
			h.advance(c.after)
			got := h.endAttempt(id, 0, c.status)
			requireEqual(t, "failures", countOf[Fail](got), c.failures)
			requireEqual(t, "rejections", countOf[Reject](got), c.rejections)
			got = append(got, h.advance(time.Second)...)
			requireEqual(t, "retries", countOf[SendAttempt](got), 0)
		})
	}
}

// When a reload lowers the maximum number of attempts, requests that have reached it and wait for a retry
// end.
func TestLoweredMaxAttemptsEndsWaitingRequests(t *testing.T) {
	s := baseSettings()
	h := newHarness(t, s, readyEngine("e1"))
	id, _ := h.submit("long", h.deadlineIn(20*time.Second))
	draining := readyEngine("e1")
	draining.State = Draining
	h.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{draining}})
	got := append(h.endAttempt(id, 0, Failed), h.advance(300*ms)...)
	requireEqual(t, "answers while a retry is allowed", countOf[Reject](got)+countOf[Fail](got), 0)
	s.Limits.MaxAttempts = 1
	h.controller.UpdateClasses(s.Classes, s.Limits)
	requireEqual(t, "rejections", countOf[Reject](h.advance(300*ms)), 1)
}

// Guards against a reload after which no request is sent: without a limit of attempts in the file, a request has
// one, as at the start.
func TestReloadWithoutMaxAttemptsAllowsOneAttempt(t *testing.T) {
	s := baseSettings()
	h := newHarness(t, s, readyEngine("e1"))
	s.Limits.MaxAttempts = 0
	h.controller.UpdateClasses(s.Classes, s.Limits)
	id, got := h.submit("long", h.deadlineIn(20*time.Second))
	requireEqual(t, "sends", countOf[SendAttempt](got), 1)
	got = append(h.endAttempt(id, 0, Failed), h.advance(time.Second)...)
	requireEqual(t, "retries", countOf[SendAttempt](got), 0)
}

func TestOrderKeyKeepsOrderAndCooldown(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Ordered, s.Rules.KeyCooldown = true, 400*ms
	key := func(r *Request) { r.OrderKey = "k" }
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	first, got := h.submit("quick", key)
	requireEqual(t, "sends of the first request", countOf[SendAttempt](got), 1)
	_, got = h.submit("quick", key)
	requireEqual(t, "sends while the first request is open", countOf[SendAttempt](got), 0)
	_, got = h.submit("quick", func(r *Request) { r.OrderKey = "other" })
	requireEqual(t, "sends for another key", countOf[SendAttempt](got), 1)
	h.handle(ClientDisconnected{RequestID: first}) // its attempt is still in flight
	requireEqual(t, "sends while the attempt is in flight", countOf[SendAttempt](h.advance(300*ms)), 0)
	h.endAttempt(first, 0, TimedOut)
	requireEqual(t, "sends during the cooldown", countOf[SendAttempt](h.advance(350*ms)), 0)
	requireEqual(t, "sends after the cooldown", countOf[SendAttempt](h.advance(300*ms)), 1)
}

func TestPlacementAppliesToEveryAttempt(t *testing.T) {
	s := baseSettings()
	s.Classes[0].AllowedZones, s.Classes[0].AllowedKinds = []string{"b"}, []string{"std"}
	b := readyEngine("e2")
	b.Zone = "b"
	other := readyEngine("e3")
	other.Zone, other.Kind = "b", "big"
	h := newHarness(t, s, readyEngine("e1"), b, other)
	id, got := h.submit("quick")
	for n := range 3 {
		requireEqual(t, "engine", actionsOf[SendAttempt](got)[0].Engine, "e2")
		if got = h.endAttempt(id, n, Failed); n < 2 && countOf[SendAttempt](got) == 0 {
			got = h.advance(time.Second)
		}
		if countOf[SendAttempt](got) == 0 {
			break
		}
	}
	h.handle(EndpointUpdate{Kind: EndpointSnapshot, Engines: []Engine{readyEngine("e1"), other}})
	_, got = h.submit("quick")
	got = append(got, h.advance(4*time.Second)...)
	requireEqual(t, "sends without an allowed engine", countOf[SendAttempt](got), 0)
}

func TestNoHedgingAndAtMostMaxAttempts(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"), readyEngine("e2"))
	id, _ := h.submit("long", h.deadlineIn(20*time.Second))
	requireEqual(t, "hedged attempts", countOf[SendAttempt](h.advance(10*time.Second)), 0)
	sends := 1
	for n := range 4 {
		sends += countOf[SendAttempt](h.endAttempt(id, n, Failed))
		sends += countOf[SendAttempt](h.advance(time.Second))
	}
	requireEqual(t, "attempts", sends, 3)
}
