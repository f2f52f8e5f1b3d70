// Package keyorder runs requests that share an order key one at a time, in order of arrival. A cooldown
// follows an attempt that may still run at an engine when the next request starts.
package keyorder

import (
	"slices"
	"time"
)

// Queues holds the open requests of all order keys.
type Queues[R comparable] struct {
	byKey map[string]*Queue[R]
}

// New returns queues without requests.
func New[R comparable]() Queues[R] { return Queues[R]{byKey: map[string]*Queue[R]{}} }

// Queue holds the open requests of one key, in order of arrival.
type Queue[R comparable] struct {
	key           string
	requests      []R
	cooldownUntil time.Duration
}

// Add appends a request to its key's queue, and returns the queue.
func (q *Queues[R]) Add(key string, request R) *Queue[R] {
	queue := q.byKey[key]
	if queue == nil {
		queue = &Queue[R]{key: key}
		q.byKey[key] = queue
	}
	queue.requests = append(queue.requests, request)
	return queue
}

// DropIfIdle removes a queue that is empty and past its cooldown.
func (q *Queues[R]) DropIfIdle(queue *Queue[R], now time.Duration) {
	if queue.Empty() && q.byKey[queue.key] == queue && queue.cooldownUntil <= now {
		delete(q.byKey, queue.key)
	}
}

// MaySend reports whether a request may be sent: it must be the first of its queue, and the cooldown must be
// over. The cooldown does not delay a request that has already been attempted.
func (q *Queue[R]) MaySend(request R, attempted bool, now time.Duration) bool {
	return !q.Empty() && q.requests[0] == request && (attempted || now >= q.cooldownUntil)
}

// CoolDownUntil delays the next request of the key until a time. It never shortens a cooldown.
func (q *Queue[R]) CoolDownUntil(until time.Duration) { q.cooldownUntil = max(q.cooldownUntil, until) }

// CooldownLeft returns the remaining time of the cooldown, or 0 if it is over.
func (q *Queue[R]) CooldownLeft(now time.Duration) time.Duration { return max(0, q.cooldownUntil-now) }

// Remove removes a request that has ended.
func (q *Queue[R]) Remove(request R) {
	q.requests = slices.DeleteFunc(q.requests, func(other R) bool { return other == request })
}

// Empty reports whether the key has no open request.
func (q *Queue[R]) Empty() bool { return len(q.requests) == 0 }
