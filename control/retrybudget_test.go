package control

import (
	"testing"
	"time"
)

// The retry budget counts a retry for as long as it may have left late, and a request no longer than an
// attempt that leaves late may count it.
func TestRetryBudgetAllowsForSendDelay(t *testing.T) {
	for late, wanted := range map[time.Duration][2]int{0: {1, 2}, 300 * ms: {2, 1}} {
		s := baseSettings()
		s.Rules.RetryBudgetWindow, s.MaxSendDelay = 10*time.Second, late
		r := newRig(t, s, readyEngine("e1"))
		r.controller.now = r.now
		past := r.now - 10*time.Second
		r.controller.retries.retries = []time.Duration{past - 100*ms, past + time.Second}
		r.controller.retries.requests = []time.Duration{past + 100*ms, past + time.Second}
		r.controller.retries.expire(r.controller.now)
		requireEqual(t, "further attempts", len(r.controller.retries.retries), wanted[0])
		requireEqual(t, "requests", len(r.controller.retries.requests), wanted[1])
	}
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	s := baseSettings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetReserve = 10*time.Second, 0.1, 2
	r := newRig(t, s, readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	further := 0
	for range 30 {
		id, _ := r.submit("quick")
		further += countOf[SendAttempt](r.endAttempt(id, 0, ConnectFailed))
	}
	further += countOf[SendAttempt](r.advance(100 * ms))
	if further == 0 || further > 5 {
		t.Fatalf("%d further attempts for 30 requests, want 1 to 5", further)
	}
}
