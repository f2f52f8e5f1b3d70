package endpointwatch

import (
	"testing"
	"time"
)

// Brokers that lose the change log at once poll it again at times spread apart, not in step, and never
// later than the longest pause and its spread allow.
func TestPollBackoffIsSpread(t *testing.T) {
	first, second := newPollBackoff(), newPollBackoff()
	same := 0
	for i := range 20 {
		a, b := first.NextBackOff(), second.NextBackOff()
		for _, pause := range []time.Duration{a, b} {
			shortest := time.Duration(float64(min(maxPollBackoff, minPollBackoff<<i)) * (1 - pollBackoffSpread))
			if pause < shortest || pause > time.Duration(float64(maxPollBackoff)*(1+pollBackoffSpread)) {
				t.Fatalf("pause %d: %v, out of its bounds", i, pause)
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

// The timeouts grow with each one that is exceeded and shrink after a run of answers.
func TestAdaptiveTimeouts(t *testing.T) {
	var timeouts adaptiveTimeouts
	first := timeouts.current()
	timeouts.exceeded()
	second := timeouts.current()
	timeouts.exceeded()
	timeouts.exceeded()
	last := timeouts.current()
	if second.grace <= first.grace || last.grace <= second.grace || last.partial <= second.partial ||
		last.connect < second.connect {
		t.Errorf("timeouts %v, %v, %v do not grow", first, second, last)
	}
	for range answersToShorten {
		timeouts.answered()
	}
	if timeouts.current() != second {
		t.Errorf("after a run of answers the timeouts are %v", timeouts.current())
	}
	timeouts.answered()
	timeouts.exceeded()
	if timeouts.current() != last {
		t.Errorf("after one more is exceeded the timeouts are %v", timeouts.current())
	}
}
