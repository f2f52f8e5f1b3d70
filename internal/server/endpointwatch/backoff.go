package endpointwatch

import (
	"time"

	"github.com/cenkalti/backoff/v4"
)

const (
	minPollBackoff        = 20 * time.Millisecond
	maxPollBackoff        = 200 * time.Millisecond
	pollBackoffJitter     = 0.5 // fraction by which a delay is randomly shortened or extended
	pollBackoffMultiplier = 2   // from one delay to the next
)

// newPollBackoff returns the backoff between polls, which grows from minPollBackoff to maxPollBackoff and never stops.
// It is jittered because a failing change log ends the connections of all brokers at the same time, and they would
// otherwise poll it again in lockstep.
func newPollBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minPollBackoff, maxPollBackoff, pollBackoffMultiplier
	b.RandomizationFactor, b.MaxElapsedTime = pollBackoffJitter, 0
	b.Reset()
	return b
}
