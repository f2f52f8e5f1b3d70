package processpause

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	const begin = time.Hour
	ms := func(n int) time.Duration { return begin + time.Duration(n)*time.Millisecond }
	for name, tt := range map[string]struct {
		turns            []time.Duration
		readAt, earliest time.Duration
	}{
		"no turn yet":                      {nil, ms(0), ms(0)},
		"no standstill":                    {[]time.Duration{ms(0), ms(20), ms(40)}, ms(45), ms(45)},
		"read before the loop's next turn": {[]time.Duration{ms(0)}, ms(1000), ms(0)},
		"read just after it":               {[]time.Duration{ms(0), ms(1000)}, ms(1001), ms(0)},
		"read long after it": {
			[]time.Duration{ms(0), ms(1000), ms(1040), ms(1080), ms(1120), ms(1160)}, ms(1200), ms(1200),
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			for _, turn := range tt.turns {
				d.RecordIteration(turn)
			}
			if got := d.EarliestArrival(tt.readAt); got != tt.earliest {
				t.Errorf("earliest %v, want %v", got-begin, tt.earliest-begin)
			}
		})
	}
}

// A wake-up that is late by a standstill leaves time to read; all that come ahead of the end of that time are passed
// over, and the first one after it runs a round.
func TestPacer(t *testing.T) {
	const due = time.Hour
	p := NewPacer(due)
	defer p.Stop()
	for _, step := range []struct {
		at    time.Duration // after due
		ready bool
	}{
		{0, true},
		{standstillThreshold, true}, // late, but no standstill
		{standstillThreshold + 1, false},
		{standstillThreshold + catchUpDuration, false},
		{standstillThreshold + catchUpDuration + 1, true},
	} {
		if got := p.Ready(due + step.at); got != step.ready {
			t.Errorf("%v after it was due: ready %v, want %v", step.at, got, step.ready)
		}
	}
	p.WakeIn(due, time.Second)
	if lag := p.Lag(due); lag != -time.Second {
		t.Errorf("ahead of a wake-up in a second the lag is %v", lag)
	}
}
