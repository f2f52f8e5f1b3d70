package control

import (
	"testing"
	"time"
)

// The retry budget counts a retry for as long as it may have left late, and a request no longer than an
// attempt that leaves late may count it.
func TestRetryBudgetAllowsForSendDelay(t *testing.T) {
	for name, c := range map[string]struct {
		maxSendDelay      time.Duration
		retries, requests int
	}{
		"at once": {0, 1, 2},
		"late":    {300 * ms, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSettings()
			s.Rules.RetryBudgetWindow, s.MaxSendDelay = 10*time.Second, c.maxSendDelay
			r := newRig(t, s, readyEngine("e1"))
			r.controller.now = r.now
			windowStart := r.now - s.Rules.RetryBudgetWindow
			budget := &r.controller.retries
			budget.retries = []time.Duration{windowStart - 100*ms, windowStart + time.Second}
			budget.requests = []time.Duration{windowStart + 100*ms, windowStart + time.Second}
			budget.expire(r.controller.now)
			requireEqual(t, "retries", len(budget.retries), c.retries)
			requireEqual(t, "requests", len(budget.requests), c.requests)
		})
	}
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	s := baseSettings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetReserve = 10*time.Second, 0.1, 2
	r := newRig(t, s, readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	retries := 0
	for range 30 {
		id, _ := r.submit("quick")
		retries += countOf[SendAttempt](r.endAttempt(id, 0, ConnectFailed))
	}
	retries += countOf[SendAttempt](r.advance(100 * ms))
	if retries == 0 || retries > 5 {
		t.Fatalf("%d retries for 30 requests, want 1 to 5", retries)
	}
}
