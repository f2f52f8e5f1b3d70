package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	abandonWeight     = 0.02                 // weight of a request in the abandonment rate
	likelyAbandonRate = units.Fraction(0.5)  // rate beyond which clients are expected to disconnect
	minAbandonRate    = units.Fraction(1e-9) // keeps a quotient finite
)

// Abandonment estimates the fraction of clients that disconnect before their deadline, and how long they
// wait.
type Abandonment struct {
	rate  units.Fraction // fraction of clients that disconnect
	after units.Seconds  // mean time after which these disconnect
}

// ClientDisconnected records a client that disconnected after a time. The lower the abandonment rate, the
// larger the weight of this client's time.
func (a *Abandonment) ClientDisconnected(after time.Duration) {
	a.rate = estimate.EWMA(a.rate, 1, abandonWeight)
	weight := min(1, likelyAbandonRate/max(a.rate, minAbandonRate))
	a.after = estimate.EWMA(a.after, units.SecondsOf(after), float64(weight))
}

// ClientWaited records a client that waited for its answer.
func (a *Abandonment) ClientWaited() { a.rate = estimate.EWMA(a.rate, 0, abandonWeight) }

// TimeToAbandon returns the time after which clients disconnect; ok is false if most of them wait until their
// deadline.
func (a *Abandonment) TimeToAbandon() (wait time.Duration, ok bool) {
	return a.after.Duration(), a.rate > likelyAbandonRate
}
