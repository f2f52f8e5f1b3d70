package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	abandonWeight     = 0.02                 // weight of a request in the rate of abandonment
	likelyAbandonRate = units.Fraction(0.5)  // beyond it a client is expected to leave
	minAbandonRate    = units.Fraction(1e-9) // keeps a quotient finite
)

// Abandonment estimates how many clients leave before their deadline, and how long those wait.
type Abandonment struct {
	rate  units.Fraction
	after units.Seconds
}

// ClientDisconnected takes a client that left after a time. While few have left, the last one counts most.
func (a *Abandonment) ClientDisconnected(after time.Duration) {
	a.rate = estimate.EWMA(a.rate, 1, abandonWeight)
	weight := min(1, likelyAbandonRate/max(a.rate, minAbandonRate))
	a.after = estimate.EWMA(a.after, units.SecondsOf(after), float64(weight))
}

// ClientWaited takes a client that waited for its answer.
func (a *Abandonment) ClientWaited() { a.rate = estimate.EWMA(a.rate, 0, abandonWeight) }

// TimeToAbandon is how long clients wait; ok is false where most of them wait until their deadline.
func (a *Abandonment) TimeToAbandon() (patience time.Duration, ok bool) {
	return a.after.Duration(), a.rate > likelyAbandonRate
}
