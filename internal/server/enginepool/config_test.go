package enginepool

import (
	"testing"
	"time"
)

// The maximum delay of bytes for engines follows the drain grace period.
func TestSendDelayFollowsDrainGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0:                      maxSendDelay,
		200 * time.Millisecond: 160 * time.Millisecond,
		500 * time.Millisecond: maxSendDelay,
		5 * time.Second:        maxSendDelay,
	} {
		if got := (&Config{DrainGrace: grace}).queueDelay(); got != want {
			t.Errorf("drain grace %v: queue delay %v, want %v", grace, got, want)
		}
	}
}

// Between the time at which the broker closes an idle connection and the time at which its engine does, there are at
// least two sweeps.
func TestSweepInterval(t *testing.T) {
	for idleTimeout, want := range map[time.Duration]time.Duration{
		300 * time.Millisecond: 60 * time.Millisecond,
		2 * time.Second:        400 * time.Millisecond,
		5 * time.Second:        maxSweepInterval,
		time.Minute:            maxSweepInterval,
	} {
		if got := SweepInterval(idleTimeout); got != want {
			t.Errorf("idle timeout %v: sweep interval %v, want %v", idleTimeout, got, want)
		}
	}
}
