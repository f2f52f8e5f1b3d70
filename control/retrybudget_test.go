package control

import (
	"testing"
	"time"
)

func TestRetriesStayWithinTheBudget(t *testing.T) {
	s := baseSettings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetReserve = 10*time.Second, 0.1, 2
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"), readyEngine("e3"))
	retries := 0
	for range 30 {
		id, _ := h.submit("quick")
		retries += countOf[SendAttempt](h.endAttempt(id, 0, ConnectFailed))
	}
	retries += countOf[SendAttempt](h.advance(100 * ms))
	if retries == 0 || retries > 5 {
		t.Fatalf("%d retries for 30 requests, want 1 to 5", retries)
	}
}
