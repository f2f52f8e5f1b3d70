package pacing

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// A source returns the sequence of its seed and stream, also where integers and durations alternate. A soak with the
// same seed must make the same choices.
func TestSourceIsDeterministicForItsSeed(t *testing.T) {
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

// Requests of one key are spaced by the interval; requests of different keys do not delay each other.
func TestKeyPacerEnforcesTheInterval(t *testing.T) {
	t.Parallel()
	const interval = 300 * time.Millisecond
	pacer, start := NewKeyPacer(2, interval), time.Now()
	for _, step := range []struct {
		key            int
		requestedAfter time.Duration // since the start
		wantAfter      time.Duration // since the start
	}{
		{key: 0, requestedAfter: 0, wantAfter: 0},
		{key: 1, requestedAfter: 0, wantAfter: 0},
		{key: 0, requestedAfter: 0, wantAfter: interval},
		{key: 0, requestedAfter: interval / 2, wantAfter: 2 * interval},
		{key: 1, requestedAfter: 3 * interval, wantAfter: 3 * interval},
		{key: 1, requestedAfter: 3 * interval, wantAfter: 4 * interval},
	} {
		if got := pacer.reserveAt(step.key, start.Add(step.requestedAfter)).Sub(start); got != step.wantAfter {
			t.Errorf("key %d requested after %v: reserved after %v, want %v",
				step.key, step.requestedAfter, got, step.wantAfter)
		}
	}
}

// Pause returns once its context is done.
func TestPauseReturnsWhenContextIsDone(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Pause(ctx, time.Hour)
}
