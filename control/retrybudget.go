package control

import (
	"slices"
	"time"
)

// retryBudget counts what the retry budget is computed from: requests received and retries sent within a
// window. It is on the safe side: requests leave the window a batch interval early, and retries leave it late
// by the time that a send may take. What it allows is decided by mayRetry.
type retryBudget struct {
	window        time.Duration // 0: there is no budget
	batchInterval time.Duration
	maxSendDelay  time.Duration
	requests      []time.Duration // when they were received
	retries       []time.Duration // when they were sent
}

func newRetryBudget(s Settings) retryBudget {
	return retryBudget{
		window: s.Rules.RetryBudgetWindow, batchInterval: s.MinBatchInterval,
		maxSendDelay: s.MaxSendDelay,
	}
}

func (b *retryBudget) requestReceived(now time.Duration) { b.requests = append(b.requests, now) }

func (b *retryBudget) retrySent(now time.Duration) { b.retries = append(b.retries, now) }

// expire drops what the window has passed.
func (b *retryBudget) expire(now time.Duration) {
	oldestRetry := now - b.window - b.maxSendDelay
	b.retries = slices.DeleteFunc(b.retries, func(at time.Duration) bool { return at < oldestRetry })
	oldestRequest := now - b.window + b.batchInterval + b.maxSendDelay
	b.requests = slices.DeleteFunc(b.requests, func(at time.Duration) bool { return at < oldestRequest })
}
