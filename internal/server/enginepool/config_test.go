package enginepool

import (
	"testing"
	"time"
)

// The limit on late bytes for engines follows the drain grace of the settings.
func TestSendDelayFollowsDrainGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0:                      maxSendDelay,
		200 * time.Millisecond: 160 * time.Millisecond,
		500 * time.Millisecond: maxSendDelay,
		5 * time.Second:        maxSendDelay,
	} {
		if got := (&Config{DrainGrace: grace}).queueDelay(); got != want {
			t.Errorf("grace %v: %v, want %v", grace, got, want)
		}
	}
}
