package control

import (
	"testing"
	"time"
)

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
