package timerqueue

import (
	"slices"
	"testing"
	"time"
)

func TestTimersExpireByTimeAndThenInTheOrderOfSetting(t *testing.T) {
	t.Parallel()
	var queue Queue[string]
	if _, ok := queue.PopDue(time.Hour); ok {
		t.Fatal("an empty queue has a timer")
	}
	for _, timer := range []struct {
		at    time.Duration
		event string
	}{{3, "late"}, {1, "first"}, {2, "middle"}, {1, "second"}, {2, "middle, again"}} {
		queue.Set(timer.at, timer.event)
	}
	if at, ok := queue.NextAt(); !ok || at != 1 {
		t.Errorf("the first timer is at %v, %v", at, ok)
	}
	var got []string
	for event, ok := queue.PopDue(2); ok; event, ok = queue.PopDue(2) {
		got = append(got, event)
	}
	if want := []string{"first", "second", "middle", "middle, again"}; !slices.Equal(got, want) {
		t.Errorf("due are %q, want %q", got, want)
	}
	if at, ok := queue.NextAt(); !ok || at != 3 {
		t.Errorf("what is left is at %v, %v", at, ok)
	}
	if earlier := queue.NextOrdinal(); queue.NextOrdinal() == earlier {
		t.Error("an ordinal was returned twice")
	}
}
