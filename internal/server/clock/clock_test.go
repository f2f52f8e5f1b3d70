package clock_test

import (
	"testing"
	"time"

	"wheatlane/internal/server/clock"
)

// Differences between times follow the monotonic clock, and WallOffset follows the wall clock.
func TestAt(t *testing.T) {
	read := time.Now()
	if difference := clock.At(read.Add(time.Hour)) - clock.At(read); difference != time.Hour {
		t.Errorf("times one hour apart differ by %v", difference)
	}
	if now := clock.Now(); now < clock.At(read) {
		t.Errorf("Now is %v before a time in the past", clock.At(read)-now)
	}
	if offset := clock.WallOffset(); offset.Abs() > time.Minute {
		t.Errorf("WallOffset is %v although the wall clock was not stepped", offset)
	}
}
