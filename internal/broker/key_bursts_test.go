package broker

import (
	"fmt"
	"testing"
	"time"
)

// A client holds a request back when another of its key was written just before, but counts its wait from
// when it meant to send it.
func TestClientWaitStartsWithItsKeyBurst(t *testing.T) {
	type write struct {
		at                time.Duration
		firstOnConnection bool
		key               string
	}
	for name, c := range map[string]struct {
		writes []write
		want   time.Duration // when the last one's wait started
	}{
		"alone":                  {[]write{{0, false, "k"}}, 0},
		"long after":             {[]write{{0, false, "k"}, {200 * ms, false, "k"}}, 200 * ms},
		"close behind":           {[]write{{0, false, "k"}, {60 * ms, false, "k"}}, 0},
		"third of a burst":       {[]write{{0, false, "k"}, {60 * ms, false, "k"}, {120 * ms, false, "k"}}, 0},
		"after a new connection": {[]write{{0, true, "k"}, {250 * ms, false, "k"}}, 0},
		"another key":            {[]write{{0, false, "k"}, {60 * ms, false, "other"}}, 60 * ms},
		"no key":                 {[]write{{0, false, ""}, {60 * ms, false, ""}}, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			bursts := newKeyBurstTable()
			var got time.Duration
			for _, w := range c.writes {
				got = bursts.clientWaitStart(Request{
					OrderKey: w.key, SentAt: startTime + w.at, FirstOnConnection: w.firstOnConnection,
				})
			}
			if got != startTime+c.want {
				t.Errorf("counted from %v, want %v", got-startTime, c.want)
			}
		})
	}
}

// Memory does not grow where order keys are always new.
func TestKeyBurstsAreSwept(t *testing.T) {
	bursts := newKeyBurstTable()
	for n := range 10 * minBurstsToSweep {
		sentAt := startTime + time.Duration(n)*time.Second
		bursts.clientWaitStart(Request{OrderKey: fmt.Sprint(n), SentAt: sentAt})
	}
	if len(bursts.byKey) > minBurstsToSweep {
		t.Fatalf("%d keys are kept", len(bursts.byKey))
	}
}
