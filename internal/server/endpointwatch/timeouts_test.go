package endpointwatch

import (
	"testing"
	"time"
)

// Brokers whose polls fail at the same time poll the change log again at different times, and never later than the
// maximum backoff with its jitter. In lockstep they would overload a change log that restarts.
func TestPollBackoffIsJittered(t *testing.T) {
	first, second := newPollBackoff(), newPollBackoff()
	same := 0
	for i := range 20 {
		a, b := first.NextBackOff(), second.NextBackOff()
		for _, delay := range []time.Duration{a, b} {
			shortest := time.Duration(float64(min(maxPollBackoff, minPollBackoff<<i)) * (1 - pollBackoffJitter))
			longest := time.Duration(float64(maxPollBackoff) * (1 + pollBackoffJitter))
			if delay < shortest || delay > longest {
				t.Fatalf("delay %d is %v, want %v to %v", i, delay, shortest, longest)
			}
		}
		if a == b {
			same++
		}
	}
	if same > 1 {
		t.Fatalf("%d of 20 delays are the same for two brokers", same)
	}
}

// The timeouts grow with each timeout that expires and shrink after consecutive responses.
func TestAdaptiveTimeouts(t *testing.T) {
	var timeouts adaptiveTimeouts
	first := timeouts.current()
	timeouts.recordTimeout()
	second := timeouts.current()
	timeouts.recordTimeout()
	timeouts.recordTimeout()
	last := timeouts.current()
	if second.grace <= first.grace || last.grace <= second.grace || last.partial <= second.partial {
		t.Errorf("timeouts %v, %v, %v do not grow", first, second, last)
	}
	for range responsesToShorten {
		timeouts.recordResponse()
	}
	if timeouts.current() != second {
		t.Errorf("after %d responses the timeouts are %v, want %v", responsesToShorten, timeouts.current(), second)
	}
	timeouts.recordResponse()
	timeouts.recordTimeout()
	if timeouts.current() != last {
		t.Errorf("after another timeout the timeouts are %v, want %v", timeouts.current(), last)
	}
}
