package server

import (
	"testing"
	"time"
)

// The limit on late bytes for engines follows the drain grace of the settings.
func TestEngineSendDelayFollowsDrainGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0:                      maxEngineSendDelay,
		200 * time.Millisecond: 160 * time.Millisecond,
		500 * time.Millisecond: maxEngineSendDelay,
		5 * time.Second:        maxEngineSendDelay,
	} {
		if got := engineSendDelay(grace); got != want {
			t.Errorf("grace %v: %v, want %v", grace, got, want)
		}
	}
}
