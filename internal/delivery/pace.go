package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	maxDoublings  = 20 // of a backoff, which must not overflow
	jitterDivisor = 2  // a pause is shortened by at most this fraction of it, at random
)

// backoff decides when to connect again: exponential backoff with jitter, so that brokers don't all come back
// to a collector at once.
type backoff struct {
	initial, max time.Duration
	rng          *rand.Rand

	failures int // since an interval was last written
	retryAt  time.Duration
}

func (b *backoff) failed(now time.Duration) {
	pause := min(b.max, b.initial<<min(b.failures, maxDoublings))
	b.failures++
	jitter := pause / jitterDivisor
	b.retryAt = now + jitter + time.Duration(b.rng.Int64N(int64(jitter)+1))
}

// succeeded starts the next backoff at the initial one.
func (b *backoff) succeeded() { b.failures = 0 }

// reset allows a connection at once.
func (b *backoff) reset(now time.Duration) { b.failures, b.retryAt = 0, now }

const (
	// A backlog is replayed from this fraction of the full rate on, which grows by a factor after each step:
	// a collector that has just come back has other senders, too.
	slowStartDivisor = 8
	slowStartGrowth  = 2
	slowStartStep    = time.Second
)

// replayPacer decides when the next interval of a backlog may be written: slow start up to a full rate. Rates
// are in bytes a second.
type replayPacer struct {
	maxRate float64

	rate       float64
	next       time.Duration // when the next interval may be written
	increaseAt time.Duration // when the rate may grow
}

// start begins a slow start, with a connection.
func (p *replayPacer) start(now time.Duration) {
	p.rate = max(1, p.maxRate/slowStartDivisor)
	p.next, p.increaseAt = now, now+slowStartStep
}

// sent records a written interval.
func (p *replayPacer) sent(now time.Duration, bytes int) {
	if now >= p.increaseAt {
		p.rate, p.increaseAt = min(slowStartGrowth*p.rate, p.maxRate), now+slowStartStep
	}
	p.next = now + time.Duration(float64(bytes)/p.rate*float64(time.Second))
}
