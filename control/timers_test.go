package control

import (
	"testing"
	"time"
)

func TestATimerIsTakenOnceAndOnlyByItsToken(t *testing.T) {
	timers := newTimerSet()
	first, second := answerDue{&request{}}, answerDue{&request{}}
	token, other := timers.add(first), timers.add(second)
	if token <= lastOwnToken || token == other {
		t.Errorf("tokens %d and %d: want two different ones over %d", token, other, lastOwnToken)
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

func TestLinesAboutOneSubjectAreKeptApart(t *testing.T) {
	throttle := newLogThrottle()
	for _, c := range []struct {
		name    string
		subject logSubject
		at      time.Duration
		want    bool
	}{
		{"the first of a subject", logSubject{ejected, "e1"}, 0, true},
		{"of another subject", logSubject{restored, "e1"}, 0, true},
		{"too soon again", logSubject{ejected, "e1"}, logInterval - 1, false},
		{"after the interval", logSubject{ejected, "e1"}, logInterval, true},
		{"too soon after that", logSubject{ejected, "e1"}, 2*logInterval - 1, false},
	} {
		if got := throttle.allows(c.subject, c.at); got != c.want {
			t.Errorf("%s: allowed %v, want %v", c.name, got, c.want)
		}
	}
	throttle.forgetEngine("e1")
	if !throttle.allows(logSubject{ejected, "e1"}, 2*logInterval-1) {
		t.Error("a forgotten subject is still throttled")
	}
}
