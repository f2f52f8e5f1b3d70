package keyorder

import (
	"testing"
	"time"
)

func TestRequestsOfOneKeyAreSentInOrder(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "first")
	if queues.Add("key", "second") != queue || queues.Add("other", "third") == queue {
		t.Fatal("want one queue for each key")
	}
	if !queue.MaySend("first", false, 0) || queue.MaySend("second", false, 0) {
		t.Error("want only the first request to be sent")
	}
	queue.Remove("first")
	if !queue.MaySend("second", false, 0) {
		t.Error("want the second request to be sent once the first has ended")
	}
}

func TestCooldownDelaysFirstAttempts(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "request")
	queue.CoolDownUntil(2 * time.Second)
	queue.CoolDownUntil(time.Second) // ends earlier: no effect
	for _, c := range []struct {
		name      string
		attempted bool
		now       time.Duration
		want      bool
	}{
		{"first attempt in the cooldown", false, 2*time.Second - 1, false},
		{"retry in the cooldown", true, 2*time.Second - 1, true},
		{"first attempt after the cooldown", false, 2 * time.Second, true},
	} {
		if got := queue.MaySend("request", c.attempted, c.now); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if left := queue.CooldownLeft(500 * time.Millisecond); left != 1500*time.Millisecond {
		t.Errorf("cooldown left: %v, want 1.5s", left)
	}
	if left := queue.CooldownLeft(time.Minute); left != 0 {
		t.Errorf("cooldown left long after its end: %v, want 0", left)
	}
}

func TestDropIfIdleRemovesEmptyQueueAfterCooldown(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "request")
	queue.CoolDownUntil(time.Second)
	queues.DropIfIdle(queue, time.Minute)
	if len(queues.byKey) != 1 {
		t.Fatal("removed a queue with a request")
	}
	queue.Remove("request")
	if queues.DropIfIdle(queue, time.Second-1); len(queues.byKey) != 1 || !queue.Empty() {
		t.Fatal("removed a queue in its cooldown")
	}
	if queues.DropIfIdle(queue, time.Second); len(queues.byKey) != 0 {
		t.Fatal("retained an empty queue after its cooldown")
	}
	queues.Add("key", "next")
	if queues.DropIfIdle(queue, time.Minute); len(queues.byKey) != 1 {
		t.Fatal("removing a previous queue of a key removed its current queue")
	}
}
