// Package admission decides which requests are worth taking on when there is more to do than capacity for:
// what costs too much work for its priority, or cannot be answered in time, is shed before it costs anything.
package admission

import (
	"time"

	"wheatlane/control/units"
)

const (
	minPrice   = 1.0 / 16 // rejects no request under 16 times the usual work for its priority weight
	maxPrice   = 1.0
	priceRise  = 1.3  // growth of the price with each request that finds no capacity
	priceDecay = 0.95 // fraction of the price that is left after an interval
)

// Price is the least priority weight per thread-second of an admitted request, as a multiple of that of the
// class that earns least for its work. It rises while requests find no capacity, so that a few very heavy
// requests don't keep out many light ones of the same weight.
type Price struct{ multiple float64 }

// NewPrice returns the least price.
func NewPrice() Price { return Price{multiple: minPrice} }

// Raise raises the price for a request that found no capacity.
func (p *Price) Raise() { p.multiple = min(maxPrice, p.multiple*priceRise) }

// Decay lowers the price, once an interval.
func (p *Price) Decay() { p.multiple = max(minPrice, p.multiple*priceDecay) }

// Exceeds reports whether a request is too much work for its priority weight: whether its weight per
// thread-second is under the price. The lowest weight per thread-second is that of the class that earns least
// for its mean work.
func (p *Price) Exceeds(weight, lowestWeightPerThreadSecond float64, work units.ThreadSeconds) bool {
	return weight < p.multiple*lowestWeightPerThreadSecond*float64(work)
}

// Backlog is the work that waits ahead of a request for a concurrency limit.
type Backlog struct {
	All         units.ThreadSeconds // of all requests
	Class       units.ThreadSeconds // of those of its class
	Tenant      units.ThreadSeconds // of those of its tenant within the class
	ClassShare  units.Fraction      // of the limit
	TenantShare units.Fraction      // of the class's share
	Limit       float64             // in threads
	Slowdown    units.LogRatio      // of the engine
}

// Wait is the time until a request gets to run: its class waits for the class's own share, and its tenant
// within that.
func (b Backlog) Wait() time.Duration {
	classShare, tenantShare := units.ThreadSeconds(b.ClassShare), units.ThreadSeconds(b.TenantShare)
	ahead := min(b.All, b.Class/classShare, b.Tenant/classShare/tenantShare)
	return units.Duration(float64(ahead) / b.Limit * b.Slowdown.Ratio())
}

// CannotMeetObjective reports whether a request misses its latency objective, given the wait and the service
// time that are ahead of it and the time left of the objective.
func CannotMeetObjective(wait, serviceTime, left time.Duration) bool { return wait+serviceTime > left }

const (
	maxRetryAfter = time.Second
	minRetryAfter = 300 * time.Millisecond
	// retryAfterSpread is the quotient of the longest and the shortest time, at least.
	retryAfterSpread = 2
)

// RetryAfter is the time after which a rejected client is asked to retry, given the longest time that clients
// follow and a random number from 0 to 1: requests that a fleet rejects together must not return together.
func RetryAfter(longestFollowed time.Duration, random float64) time.Duration {
	longest := min(longestFollowed, maxRetryAfter)
	shortest := min(minRetryAfter, longest/retryAfterSpread)
	return shortest + time.Duration(random*float64(longest-shortest))
}
