// Package retrybudget limits the retries and hedged requests of a broker to a reserve and a ratio of the
// requests that it received within a window, so that retries can't multiply an overload.
package retrybudget

import (
	"slices"
	"time"
)

// Config is what a deployment allows, and how much later than decided attempts may leave the broker.
type Config struct {
	Window           time.Duration // over which both are counted; 0: retries are not limited
	Ratio            float64       // retries allowed for each request received within the window
	Reserve          float64       // retries allowed beside these
	MinBatchInterval time.Duration // shortest time between two decisions
	MaxSendDelay     time.Duration // longest time from a decision until its attempt leaves the broker
}

// Budget counts requests received and retries sent, and decides by them. An attempt may leave the broker up
// to MaxSendDelay after it was decided. So that the budget holds at every such time, requests count for
// less than the window and retries for longer.
type Budget struct {
	config   Config
	requests []time.Duration // when they were received
	retries  []time.Duration // when they were sent
}

// New returns a budget without any request.
func New(config Config) Budget { return Budget{config: config} }

// RequestReceived counts a request.
func (b *Budget) RequestReceived(now time.Duration) { b.requests = append(b.requests, now) }

// RetrySent counts a retry or a hedged request.
func (b *Budget) RetrySent(now time.Duration) { b.retries = append(b.retries, now) }

// Allows reports whether one more retry or hedged request may be sent.
func (b *Budget) Allows(now time.Duration) bool {
	if b.config.Window <= 0 {
		return true
	}
	b.Expire(now)
	allowed := b.config.Reserve + b.config.Ratio*float64(len(b.requests))
	return float64(len(b.retries)+1) <= allowed
}

// Expire drops what has left the window, which bounds the memory.
func (b *Budget) Expire(now time.Duration) {
	windowStart := now - b.config.Window
	oldestRetry := windowStart - b.config.MaxSendDelay
	oldestRequest := windowStart + b.config.MinBatchInterval + b.config.MaxSendDelay
	b.retries = slices.DeleteFunc(b.retries, func(at time.Duration) bool { return at < oldestRetry })
	b.requests = slices.DeleteFunc(b.requests, func(at time.Duration) bool { return at < oldestRequest })
}
