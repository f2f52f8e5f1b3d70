// Package admission decides which requests are accepted while the demand exceeds the capacity. It sheds a
// request before any work is spent on it if the request needs too much work for its priority weight, or if
// its answer would miss the latency objective.
package admission

import (
	"time"

	"wheatlane/control/units"
)

const (
	minPrice   = 1.0 / 16 // admits requests of up to 16 times the usual work for their priority weight
	maxPrice   = 1.0      // admits requests of up to the usual work for their priority weight
	priceRise  = 1.3      // growth of the price with each request that finds no capacity
	priceDecay = 0.95     // fraction of the price that remains after an interval
)

// Price is the minimum priority weight per thread-second of an admitted request, as a multiple of the lowest
// weight per thread-second of any class. It rises while requests find no capacity, so that a few very heavy
// requests don't displace many light ones of the same weight.
type Price struct{ multiple float64 }

// NewPrice returns the minimum price.
func NewPrice() Price { return Price{multiple: minPrice} }

// Raise raises the price for a request that found no capacity.
func (p *Price) Raise() { p.multiple = min(maxPrice, p.multiple*priceRise) }

// Decay lowers the price. It must be called once an interval.
func (p *Price) Decay() { p.multiple = max(minPrice, p.multiple*priceDecay) }

// Exceeds reports whether the price exceeds a request's priority weight per thread-second, so that the
// request is too much work for its weight. The lowest weight per thread-second is the minimum over all
// classes, at the mean work of each.
func (p *Price) Exceeds(weight, lowestWeightPerThreadSecond float64, work units.ThreadSeconds) bool {
	return weight < p.multiple*lowestWeightPerThreadSecond*float64(work)
}

// Backlog is the work queued ahead of a request at a concurrency limit.
type Backlog struct {
	All         units.ThreadSeconds // queued by all requests
	Class       units.ThreadSeconds // queued by requests of its class
	Tenant      units.ThreadSeconds // queued by requests of its tenant within the class
	ClassShare  units.Fraction      // the class's share of the limit
	TenantShare units.Fraction      // the tenant's share of the class's share
	Limit       float64             // in threads
	Slowdown    units.LogRatio      // of the engine
}

// Wait estimates the time until the request is sent. A class waits only for its own share of the limit, and
// a tenant only for its own share within the class.
func (b Backlog) Wait() time.Duration {
	classShare, tenantShare := units.ThreadSeconds(b.ClassShare), units.ThreadSeconds(b.TenantShare)
	ahead := min(b.All, b.Class/classShare, b.Tenant/classShare/tenantShare)
	return units.Duration(float64(ahead) / b.Limit * b.Slowdown.Ratio())
}

// CannotMeetObjective reports whether a request will miss its latency objective, given its expected wait and
// service time and the time left until the objective.
func CannotMeetObjective(wait, serviceTime, left time.Duration) bool { return wait+serviceTime > left }

const (
	maxRetryAfter = time.Second
	minRetryAfter = 300 * time.Millisecond
	// retryAfterSpread is the minimum ratio of the longest to the shortest time.
	retryAfterSpread = 2
)

// RetryAfter returns the time after which a rejected client is asked to retry, given the longest time that
// clients accept and a random number from 0 to 1. The times are spread at random, as requests that a fleet
// rejects at one moment must not return at one moment.
func RetryAfter(longestAccepted time.Duration, random float64) time.Duration {
	longest := min(longestAccepted, maxRetryAfter)
	shortest := min(minRetryAfter, longest/retryAfterSpread)
	return shortest + time.Duration(random*float64(longest-shortest))
}
