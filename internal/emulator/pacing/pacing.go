// Package pacing holds the timing helpers of emulated clients and injected faults: a random source that goroutines
// may share, a minimum interval between the requests of one order key, and pauses that end with a context.
package pacing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Source is a source of random numbers that is safe for concurrent use. Sources with the same seed and stream
// return the same numbers.
type Source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewSource returns a source with a seed. Streams of one seed are independent of each other.
func NewSource(seed, stream uint64) *Source {
	return &Source{rng: rand.New(rand.NewPCG(seed, stream))}
}

// IntN returns a random number from 0 to n-1.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Duration returns a random duration from 0 up to, but not including, limit.
func (s *Source) Duration(limit time.Duration) time.Duration {
	return time.Duration(s.IntN(int(limit)))
}

// KeyPacer enforces a minimum interval between the requests of one order key. It is safe for concurrent use.
type KeyPacer struct {
	interval time.Duration

	mu     sync.Mutex
	nextAt []time.Time // earliest time of the next request, by key
}

// NewKeyPacer returns a pacer for keys numbered from 0 to keys-1.
func NewKeyPacer(keys int, interval time.Duration) *KeyPacer {
	return &KeyPacer{interval: interval, nextAt: make([]time.Time, keys)}
}

// WaitForRandomKey picks a random key and waits until its next request may be sent, or until ctx is done. It returns
// the key in both cases.
func (p *KeyPacer) WaitForRandomKey(ctx context.Context, source *Source) (key int) {
	key = source.IntN(len(p.nextAt))
	Pause(ctx, time.Until(p.reserveAt(key, time.Now())))
	return key
}

// reserveAt reserves the next request of a key and returns the time at which it may be sent.
func (p *KeyPacer) reserveAt(key int, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now
	if p.nextAt[key].After(at) {
		at = p.nextAt[key]
	}
	p.nextAt[key] = at.Add(p.interval)
	return at
}

// Pause waits for a duration, or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
