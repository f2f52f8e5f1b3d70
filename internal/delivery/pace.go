package delivery

import (
	"math/rand/v2"
	"time"
)

// maxDoublings keeps a backoff from overflowing.
const maxDoublings = 20

// backoff decides when to connect again: exponential backoff, half of which is jitter, so that brokers don't
// all come back to a collector at once.
type backoff struct {
	initial, max time.Duration
	rng          *rand.Rand

	failures int // since an interval was last written
	retryAt  time.Duration
}

func (b *backoff) failed(now time.Duration) {
	pause := min(b.max, b.initial<<min(b.failures, maxDoublings))
	b.failures++
	b.retryAt = now + pause/2 + time.Duration(b.rng.Int64N(int64(pause/2)+1))
}

// succeeded starts the next backoff at the initial one.
func (b *backoff) succeeded() { b.failures = 0 }

// reset allows a connection at once.
func (b *backoff) reset(now time.Duration) { b.failures, b.retryAt = 0, now }

const (
	// slowStartDivisor is the part of the full rate that replaying a backlog starts at, and slowStartStep
	// the time after which the rate may double: a collector that has just come back has other senders,
	// too.
	slowStartDivisor = 8
	slowStartStep    = time.Second
)

// replayPacer decides when the next interval of a backlog may be written: slow start up to a full rate. Rates
// are in bytes a second.
type replayPacer struct {
	maxRate float64

	rate       float64
	next       time.Duration // when the next interval may be written
	increaseAt time.Duration // when the rate may double
}

// start begins a slow start, with a connection.
func (p *replayPacer) start(now time.Duration) {
	p.rate = max(1, p.maxRate/slowStartDivisor)
	p.next, p.increaseAt = now, now+slowStartStep
}

// sent records a written interval.
func (p *replayPacer) sent(now time.Duration, bytes int) {
	if now >= p.increaseAt {
		p.rate, p.increaseAt = min(2*p.rate, p.maxRate), now+slowStartStep
	}
	p.next = now + time.Duration(float64(bytes)/p.rate*float64(time.Second))
}
