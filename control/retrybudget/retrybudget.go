// Package retrybudget limits the retries and hedged requests of a broker to a reserve plus a ratio of the
// requests that it received within a window, so that retries can't amplify an overload.
package retrybudget

import (
	"slices"
	"time"
)

// Config specifies the budget that a deployment allows, and the delay between a decision and its send.
type Config struct {
	Window           time.Duration // window of both counts; 0: retries are not limited
	Ratio            float64       // retries allowed for each request received within the window
	Reserve          float64       // retries allowed in addition, independent of the requests
	MinBatchInterval time.Duration // shortest time between two decisions
	MaxSendDelay     time.Duration // longest time from a decision until its attempt leaves the broker
}

// Budget counts requests received and retries sent, and limits retries by these counts. An attempt may leave
// the broker up to MaxSendDelay after the decision to send it. For the budget to hold at the time of the send
// as well, requests are counted for less than the window, and retries for longer.
type Budget struct {
	config   Config
	requests []time.Duration // times at which requests were received
	retries  []time.Duration // times at which retries were sent
}

// New returns a budget without requests or retries.
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

// Expire removes requests and retries from before the window, which bounds the memory.
func (b *Budget) Expire(now time.Duration) {
	windowStart := now - b.config.Window
	oldestRetry := windowStart - b.config.MaxSendDelay
	oldestRequest := windowStart + b.config.MinBatchInterval + b.config.MaxSendDelay
	b.retries = slices.DeleteFunc(b.retries, func(at time.Duration) bool { return at < oldestRetry })
	b.requests = slices.DeleteFunc(b.requests, func(at time.Duration) bool { return at < oldestRequest })
}
