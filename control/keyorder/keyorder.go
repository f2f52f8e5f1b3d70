// Package keyorder runs requests that share an order key one at a time, in order of arrival, with a pause
// after an attempt that may still run at an engine when the next one starts.
package keyorder

import (
	"slices"
	"time"
)

// Queues holds the open requests of all order keys.
type Queues[R comparable] struct {
	byKey map[string]*Queue[R]
}

// New returns queues without any request.
func New[R comparable]() Queues[R] { return Queues[R]{byKey: map[string]*Queue[R]{}} }

// Queue holds the open requests of one key, in order of arrival.
type Queue[R comparable] struct {
	key           string
	requests      []R
	cooldownUntil time.Duration
}

// Add puts a request at the end of its key's queue, and returns the queue.
func (q *Queues[R]) Add(key string, request R) *Queue[R] {
	queue := q.byKey[key]
	if queue == nil {
		queue = &Queue[R]{key: key}
		q.byKey[key] = queue
	}
	queue.requests = append(queue.requests, request)
	return queue
}

// DropIfIdle drops a queue that is empty and past its cooldown.
func (q *Queues[R]) DropIfIdle(queue *Queue[R], now time.Duration) {
	if queue.Empty() && q.byKey[queue.key] == queue && queue.cooldownUntil <= now {
		delete(q.byKey, queue.key)
	}
}

// MaySend reports whether a request may be sent: the first of its queue may, once the cooldown is over. A
// cooldown does not hold up a request that was attempted already.
func (q *Queue[R]) MaySend(request R, attempted bool, now time.Duration) bool {
	return !q.Empty() && q.requests[0] == request && (attempted || now >= q.cooldownUntil)
}

// CoolDownUntil keeps the next request of the key back until a time, unless it is kept back longer already.
func (q *Queue[R]) CoolDownUntil(until time.Duration) { q.cooldownUntil = max(q.cooldownUntil, until) }

// CooldownLeft is the time left of the cooldown; 0 if it is over.
func (q *Queue[R]) CooldownLeft(now time.Duration) time.Duration { return max(0, q.cooldownUntil-now) }

// Remove drops a request that is over.
func (q *Queue[R]) Remove(request R) {
	q.requests = slices.DeleteFunc(q.requests, func(other R) bool { return other == request })
}

// Empty reports whether no request of the key is open.
func (q *Queue[R]) Empty() bool { return len(q.requests) == 0 }
