package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	maxDoublings  = 20 // prevents overflow of the backoff
	jitterDivisor = 2  // jitter shortens a delay by up to delay/jitterDivisor
)

// backoff computes the time of the next connection: exponential backoff with jitter, so that brokers don't all
// reconnect to a collector at the same time.
type backoff struct {
	initial, max time.Duration
	rng          *rand.Rand

	failures int // since the last written interval
	retryAt  time.Duration
}

func (b *backoff) failed(now time.Duration) {
	delay := min(b.max, b.initial<<min(b.failures, maxDoublings))
	b.failures++
	jitter := delay / jitterDivisor
	b.retryAt = now + jitter + time.Duration(b.rng.Int64N(int64(jitter)+1))
}

// succeeded resets the next delay to the initial one.
func (b *backoff) succeeded() { b.failures = 0 }

// reset allows a connection immediately.
func (b *backoff) reset(now time.Duration) { b.failures, b.retryAt = 0, now }

const (
	// The replay of a backlog starts at maxRate/slowStartDivisor and grows by slowStartGrowth after each
	// slowStartStep: a collector that has just recovered receives the backlogs of other senders, too.
	slowStartDivisor = 8
	slowStartGrowth  = 2
	slowStartStep    = time.Second
)

// replayPacer computes when the next interval of a backlog may be written, with slow start up to a maximum rate. Rates
// are in bytes per second.
type replayPacer struct {
	maxRate float64

	rate       float64
	next       time.Duration // earliest time of the next write
	increaseAt time.Duration // earliest time of the next rate increase
}

// start begins slow start on a new connection.
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
