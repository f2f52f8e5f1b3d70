package endpointlist

import (
	"testing"
	"time"
)

// A reported is translated so that the engine counts as young as it may be by the clock before a step or since, and
// never as not started yet.
func TestProcessStartAcrossClockSteps(t *testing.T) {
	const now = 1000 * time.Hour
	for name, tt := range map[string]struct {
		reported, wallOffset, earliest, latest time.Duration
	}{
		"no step":                      {now - time.Second, 0, now - time.Second, now - time.Second},
		"long ago":                     {0, time.Hour, 0, 0},
		"in the future":                {now + time.Second, 0, now + time.Second, now},
		"stepped on an hour":           {now - time.Second, time.Hour, now - time.Second - time.Hour, now - time.Second},
		"an hour behind until a step":  {now + time.Hour - time.Second, time.Hour, now - time.Second, now - time.Second},
		"stepped back an hour":         {now - time.Second, -time.Hour, now - time.Second, now - time.Second},
		"an hour ahead until a step":   {now - time.Hour, -time.Hour, now - time.Hour, now},
		"stepped back by its age":      {now - 5*time.Second, -5 * time.Second, now - 5*time.Second, now},
		"stepped on by less than that": {now - 9*time.Second, 5 * time.Second, now - 14*time.Second, now - 9*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := newProcessStart(now, tt.reported, tt.wallOffset)
			if want := (processStart{tt.reported, tt.earliest, tt.latest}); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
