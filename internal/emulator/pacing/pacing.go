// Package pacing holds what emulated clients and injected faults share: a random source that goroutines draw from,
// the spacing of requests of one order key, and pauses.
package pacing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Source is a random source that goroutines may share. Equal seeds and streams give equal draws.
type Source struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewSource returns the random source of a seed. Streams of one seed are independent of each other.
func NewSource(seed, stream uint64) *Source {
	return &Source{rng: rand.New(rand.NewPCG(seed, stream))}
}

// IntN returns a random number from 0 to n-1.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// Duration returns a random duration from 0 to just below limit.
func (s *Source) Duration(limit time.Duration) time.Duration {
	return time.Duration(s.IntN(int(limit)))
}

// KeyPacer keeps an interval between the requests of one order key.
type KeyPacer struct {
	interval time.Duration

	mu     sync.Mutex
	nextAt []time.Time // by key: the earliest time of its next request
}

// NewKeyPacer returns a pacer of keys that are numbered from 0 to keys-1.
func NewKeyPacer(keys int, interval time.Duration) *KeyPacer {
	return &KeyPacer{interval: interval, nextAt: make([]time.Time, keys)}
}

// WaitForRandomKey draws a key and waits until its next request may be sent, or until ctx ends.
func (p *KeyPacer) WaitForRandomKey(ctx context.Context, source *Source) (key int) {
	key = source.IntN(len(p.nextAt))
	Pause(ctx, time.Until(p.reserveAt(key, time.Now())))
	return key
}

// reserveAt returns the time at which the next request of a key may be sent.
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

// Pause waits for a duration, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
