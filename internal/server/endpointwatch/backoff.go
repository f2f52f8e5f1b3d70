package endpointwatch

import (
	"time"

	"github.com/cenkalti/backoff/v4"
)

const (
	minPollBackoff    = 20 * time.Millisecond
	maxPollBackoff    = 500 * time.Millisecond
	pollBackoffSpread = 0.5 // the fraction by which a pause is shorter or longer at random
	pollBackoffGrowth = 2   // from one pause to the next
)

// newPollBackoff returns the pauses between polls: they grow from minPollBackoff to maxPollBackoff without end. They
// are spread at random, as all brokers of a fleet lose a change log at once and would poll it again in step.
func newPollBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = minPollBackoff, maxPollBackoff, pollBackoffGrowth
	b.RandomizationFactor, b.MaxElapsedTime = pollBackoffSpread, 0
	b.Reset()
	return b
}
