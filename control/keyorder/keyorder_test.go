package keyorder

import (
	"testing"
	"time"
)

func TestRequestsOfAKeyTakeTurns(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "first")
	if queues.Add("key", "second") != queue || queues.Add("other", "third") == queue {
		t.Fatal("want one queue for each key")
	}
	if !queue.MaySend("first", false, 0) || queue.MaySend("second", false, 0) {
		t.Error("want the turn of the first request alone")
	}
	queue.Remove("first")
	if !queue.MaySend("second", false, 0) {
		t.Error("want the turn of the second request once the first is over")
	}
}

func TestCooldownHoldsFirstAttemptsBack(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "request")
	queue.CoolDownUntil(2 * time.Second)
	queue.CoolDownUntil(time.Second) // shorter: it changes nothing
	for _, c := range []struct {
		name      string
		attempted bool
		now       time.Duration
		want      bool
	}{
		{"a first attempt in the cooldown", false, 2*time.Second - 1, false},
		{"a retry in the cooldown", true, 2*time.Second - 1, true},
		{"a first attempt after it", false, 2 * time.Second, true},
	} {
		if got := queue.MaySend("request", c.attempted, c.now); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if left := queue.CooldownLeft(500 * time.Millisecond); left != 1500*time.Millisecond {
		t.Errorf("cooldown left: %v", left)
	}
	if left := queue.CooldownLeft(time.Minute); left != 0 {
		t.Errorf("cooldown left long after it: %v", left)
	}
}

func TestQueueIsReleasedWhenEmptyAndCool(t *testing.T) {
	t.Parallel()
	queues := New[string]()
	queue := queues.Add("key", "request")
	queue.CoolDownUntil(time.Second)
	queues.DropIfIdle(queue, time.Minute)
	if len(queues.byKey) != 1 {
		t.Fatal("a queue with a request was released")
	}
	queue.Remove("request")
	if queues.DropIfIdle(queue, time.Second-1); len(queues.byKey) != 1 || !queue.Empty() {
		t.Fatal("a queue was released in its cooldown")
	}
	if queues.DropIfIdle(queue, time.Second); len(queues.byKey) != 0 {
		t.Fatal("an empty queue was kept after its cooldown")
	}
	queues.Add("key", "next")
	if queues.DropIfIdle(queue, time.Minute); len(queues.byKey) != 1 {
		t.Fatal("the release of an old queue dropped the new one of its key")
	}
}
