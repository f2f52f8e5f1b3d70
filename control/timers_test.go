package control

import "testing"

func TestTimerIsRemovedOnceByItsToken(t *testing.T) {
	timers := newTimerSet()
	first, second := responseDue{&request{}}, responseDue{&request{}}
	token, other := timers.add(first), timers.add(second)
	if token <= lastReservedToken || token == other {
		t.Errorf("tokens %d and %d, want different ones greater than %d", token, other, lastReservedToken)
	}
	if got := timers.take(other + 1); got != nil {
		t.Errorf("got %v for an unknown token, want nil", got)
	}
	if got := timers.take(token); got != timer(first) {
		t.Errorf("got %v, want %v", got, first)
	}
	if got := timers.take(token); got != nil {
		t.Errorf("got %v for a token whose timer was removed, want nil", got)
	}
}
