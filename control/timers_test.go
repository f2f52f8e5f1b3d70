package control

import (
	"testing"
	"time"
)

func TestATimerFiresOnceAndOnlyUnderItsToken(t *testing.T) {
	timers, fired := newTimerSet(), 0
	token := timers.add(func() { fired++ })
	other := timers.add(func() { t.Error("the other timer fired") })
	if token <= lastOwnToken || token == other {
		t.Errorf("tokens %d and %d: want two different ones over %d", token, other, lastOwnToken)
	}
	timers.fire(other + 1) // unknown
	timers.fire(token)
	timers.fire(token)
	if fired != 1 {
		t.Errorf("fired %d times, want once", fired)
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
