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

// Idle connections are looked for at least twice between their end here and that at their engine.
func TestSweepInterval(t *testing.T) {
	for idleTimeout, want := range map[time.Duration]time.Duration{
		300 * time.Millisecond: 60 * time.Millisecond,
		2 * time.Second:        400 * time.Millisecond,
		5 * time.Second:        maxSweepInterval,
		time.Minute:            maxSweepInterval,
	} {
		if got := SweepInterval(idleTimeout); got != want {
			t.Errorf("idle timeout %v: %v, want %v", idleTimeout, got, want)
		}
	}
}
