package pacing

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// A source draws the numbers of its seed and stream in order, durations among them.
func TestSourceDrawsAreThoseOfItsSeed(t *testing.T) {
	t.Parallel()
	const seed, stream = 7, 3
	source, want := NewSource(seed, stream), rand.New(rand.NewPCG(seed, stream))
	for range 100 {
		if got, want := source.IntN(11), want.IntN(11); got != want {
			t.Fatalf("drew %d, want %d", got, want)
		}
		if got, want := source.Duration(time.Minute), time.Duration(want.IntN(int(time.Minute))); got != want {
			t.Fatalf("drew %v, want %v", got, want)
		}
	}
}

// Requests of one key keep the interval, those of other keys do not wait for each other.
func TestKeyPacerKeepsTheInterval(t *testing.T) {
	t.Parallel()
	const interval = 300 * time.Millisecond
	pacer, start := NewKeyPacer(2, interval), time.Now()
	for _, step := range []struct {
		key        int
		after      time.Duration // the start
		wantsAfter time.Duration
	}{
		{key: 0, after: 0, wantsAfter: 0},
		{key: 1, after: 0, wantsAfter: 0},
		{key: 0, after: 0, wantsAfter: interval},
		{key: 0, after: interval / 2, wantsAfter: 2 * interval},
		{key: 1, after: 3 * interval, wantsAfter: 3 * interval},
		{key: 1, after: 3 * interval, wantsAfter: 4 * interval},
	} {
		if got := pacer.reserveAt(step.key, start.Add(step.after)).Sub(start); got != step.wantsAfter {
			t.Errorf("key %d after %v: reserved after %v, want %v", step.key, step.after, got, step.wantsAfter)
		}
	}
}

// A pause ends with its context.
func TestPauseEndsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Pause(ctx, time.Hour)
}
