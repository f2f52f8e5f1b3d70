package endpointlist

import (
	"testing"
	"time"
)

// The latest start time is the later one by the wall clock before and after a step, but never in the future. An engine
// that counted as too old would get its full load while it warms up.
func TestProcessStartAcrossClockSteps(t *testing.T) {
	const now = 1000 * time.Hour
	for name, tt := range map[string]struct {
		reported, wallOffset, earliest, latest time.Duration
	}{
		"no step":                        {now - time.Second, 0, now - time.Second, now - time.Second},
		"long ago":                       {0, time.Hour, 0, 0},
		"in the future":                  {now + time.Second, 0, now + time.Second, now},
		"clock stepped forward 1 h":      {now - time.Second, time.Hour, now - time.Second - time.Hour, now - time.Second},
		"clock 1 h behind until step":    {now + time.Hour - time.Second, time.Hour, now - time.Second, now - time.Second},
		"clock stepped back 1 h":         {now - time.Second, -time.Hour, now - time.Second, now - time.Second},
		"clock 1 h ahead until step":     {now - time.Hour, -time.Hour, now - time.Hour, now},
		"stepped back by process age":    {now - 5*time.Second, -5 * time.Second, now - 5*time.Second, now},
		"stepped forward, less than age": {now - 9*time.Second, 5 * time.Second, now - 14*time.Second, now - 9*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := newProcessStart(now, tt.reported, tt.wallOffset)
			if want := (processStart{tt.reported, tt.earliest, tt.latest}); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
