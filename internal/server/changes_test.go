package server

import (
	"testing"
	"time"
)

// Brokers that lose the change log at once call it again at times spread apart, not in step, and never later than
// the longest pause and its spread allow. Guards against a fleet's brokers calling a change log that is back all at
// the same moments.
func TestPausesAtAChangeLogAreSpread(t *testing.T) {
	first, second := newPollBackoff(), newPollBackoff()
	same := 0
	for i := range 20 {
		a, b := first.NextBackOff(), second.NextBackOff()
		for _, p := range []time.Duration{a, b} {
			least := time.Duration(float64(min(maxPollBackoff, minPollBackoff<<i)) * (1 - pollBackoffSpread))
			if p < least || p > time.Duration(float64(maxPollBackoff)*(1+pollBackoffSpread)) {
				t.Fatalf("pause %d: %v, out of its bounds", i, p)
			}
		}
		if a == b {
			same++
		}
	}
	if same > 1 {
		t.Fatalf("%d of 20 pauses were the same for two brokers", same)
	}
}
