package control

import "testing"

func TestATimerIsTakenOnceAndOnlyByItsToken(t *testing.T) {
	timers := newTimerSet()
	first, second := responseDue{&request{}}, responseDue{&request{}}
	token, other := timers.add(first), timers.add(second)
	if token <= lastReservedToken || token == other {
		t.Errorf("tokens %d and %d: want two different ones over %d", token, other, lastReservedToken)
	}
	if got := timers.take(other + 1); got != nil {
		t.Errorf("got %v for a token that was never given", got)
	}
	if got := timers.take(token); got != timer(first) {
		t.Errorf("got %v, want %v", got, first)
	}
	if got := timers.take(token); got != nil {
		t.Errorf("got %v for a token that was taken already", got)
	}
}
