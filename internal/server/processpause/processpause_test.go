package processpause

import (
	"testing"
	"time"
)

// A read during a process pause or shortly after it may return bytes that arrived at any time since the pause began.
func TestDetector(t *testing.T) {
	const begin = time.Hour
	ms := func(n int) time.Duration { return begin + time.Duration(n)*time.Millisecond }
	for name, tt := range map[string]struct {
		iterations       []time.Duration
		readAt, earliest time.Duration
	}{
		"no iteration yet":                      {nil, ms(0), ms(0)},
		"no pause":                              {[]time.Duration{ms(0), ms(20), ms(40)}, ms(45), ms(45)},
		"read before the loop's next iteration": {[]time.Duration{ms(0)}, ms(1000), ms(0)},
		"read just after the pause":             {[]time.Duration{ms(0), ms(1000)}, ms(1001), ms(0)},
		"read long after the pause": {
			[]time.Duration{ms(0), ms(1000), ms(1040), ms(1080), ms(1120), ms(1160)}, ms(1200), ms(1200),
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			for _, iteration := range tt.iterations {
				d.RecordIteration(iteration)
			}
			if got := d.EarliestArrival(tt.readAt); got != tt.earliest {
				t.Errorf("earliest arrival %v, want %v", got-begin, tt.earliest-begin)
			}
		})
	}
}

// A wake-up that is delayed by a process pause reserves time to read pending data. Wake-ups within that time are
// ignored, and the first one after it runs a loop iteration.
func TestPacer(t *testing.T) {
	const due = time.Hour
	p := NewPacer(due)
	defer p.Stop()
	for _, step := range []struct {
		at    time.Duration // after due
		ready bool
	}{
		{0, true},
		{pauseThreshold, true}, // delayed, but not paused
		{pauseThreshold + 1, false},
		{pauseThreshold + catchUpDuration, false},
		{pauseThreshold + catchUpDuration + 1, true},
	} {
		if got := p.Ready(due + step.at); got != step.ready {
			t.Errorf("%v after the wake-up was due: ready %v, want %v", step.at, got, step.ready)
		}
	}
	p.WakeIn(due, time.Second)
	if lag := p.Lag(due); lag != -time.Second {
		t.Errorf("one second before the wake-up the lag is %v, want -1s", lag)
	}
}
