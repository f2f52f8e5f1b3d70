package timerqueue

import (
	"slices"
	"testing"
	"time"
)

func TestTimersExpireByTimeThenInsertionOrder(t *testing.T) {
	t.Parallel()
	var queue Queue[string]
	if _, ok := queue.PopDue(time.Hour); ok {
		t.Fatal("an empty queue has a timer")
	}
	for _, timer := range []struct {
		at    time.Duration
		event string
	}{{3, "last"}, {1, "first"}, {2, "third"}, {1, "second"}, {2, "fourth"}} {
		queue.Set(timer.at, timer.event)
	}
	if at, ok := queue.NextAt(); !ok || at != 1 {
		t.Errorf("first timer at %v, %v; want 1ns, true", at, ok)
	}
	var got []string
	for event, ok := queue.PopDue(2); ok; event, ok = queue.PopDue(2) {
		got = append(got, event)
	}
	if want := []string{"first", "second", "third", "fourth"}; !slices.Equal(got, want) {
		t.Errorf("due events: got %q, want %q", got, want)
	}
	if at, ok := queue.NextAt(); !ok || at != 3 {
		t.Errorf("remaining timer at %v, %v; want 3ns, true", at, ok)
	}
	if earlier := queue.NextOrdinal(); queue.NextOrdinal() == earlier {
		t.Error("NextOrdinal returned the same number twice")
	}
}
