package clock_test

import (
	"testing"
	"time"

	"wheatlane/internal/server/clock"
)

// Spans between moments are those of the monotonic clock, and the offset is that of the wall clock.
func TestAt(t *testing.T) {
	read := time.Now()
	if span := clock.At(read.Add(time.Hour)) - clock.At(read); span != time.Hour {
		t.Errorf("an hour later is %v later", span)
	}
	if now := clock.Now(); now < clock.At(read) {
		t.Errorf("now is %v before a moment in the past", clock.At(read)-now)
	}
	if offset := clock.WallOffset(); offset.Abs() > time.Minute {
		t.Errorf("the wall clock is %v ahead, in a test that does not step it", offset)
	}
}
