// Package timerqueue implements a priority queue of timers ordered by expiry time. Timers with equal expiry times
// expire in the order in which they were set.
package timerqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Queue holds timers, each with the event to handle when it expires. The zero value is an empty queue. It is not safe
// for concurrent use.
type Queue[Event any] struct {
	timers      timerHeap[Event]
	lastOrdinal uint64
}

// Timer is a timer that was set.
type Timer[Event any] struct {
	at      time.Duration
	ordinal uint64
	event   Event
	cleared bool
}

// Set adds a timer that expires at the given time.
func (q *Queue[Event]) Set(at time.Duration, event Event) *Timer[Event] {
	timer := &Timer[Event]{at: at, ordinal: q.NextOrdinal(), event: event}
	heap.Push(&q.timers, timer)
	return timer
}

// Clear drops the event of a timer, so that it is not kept in memory until the timer expires. The timer still expires,
// without an event. Clear has no effect on nil and on a timer that has expired.
func (t *Timer[Event]) Clear() {
	if t != nil {
		var none Event
		t.event, t.cleared = none, true
	}
}

// Len returns the number of timers.
func (q *Queue[Event]) Len() int { return len(q.timers) }

// Compact removes the timers that were cleared or whose event is obsolete.
func (q *Queue[Event]) Compact(obsolete func(Event) bool) {
	q.timers = slices.DeleteFunc(q.timers, func(t *Timer[Event]) bool { return t.cleared || obsolete(t.event) })
	q.timers = slices.Clip(slices.Clone(q.timers)) // releases the memory
	heap.Init(&q.timers)
}

// NextOrdinal returns a number that is not the ordinal of any timer and was not returned before.
func (q *Queue[Event]) NextOrdinal() uint64 {
	q.lastOrdinal++
	return q.lastOrdinal
}

// NextAt returns the expiry time of the first timer; ok is false if the queue is empty.
func (q *Queue[Event]) NextAt() (at time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue removes the first timer and returns it; ok is false if no timer is due at now.
func (q *Queue[Event]) PopDue(now time.Duration) (timer *Timer[Event], ok bool) {
	if at, set := q.NextAt(); !set || at > now {
		return nil, false
	}
	return heap.Pop(&q.timers).(*Timer[Event]), true
}

// Event returns the event of a timer; ok is false if it was cleared.
func (t *Timer[Event]) Event() (event Event, ok bool) { return t.event, !t.cleared }

// timerHeap implements heap.Interface.
type timerHeap[Event any] []*Timer[Event]

func (h timerHeap[Event]) Len() int { return len(h) }

func (h timerHeap[Event]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].ordinal < h[j].ordinal
}

func (h timerHeap[Event]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap[Event]) Push(x any) { *h = append(*h, x.(*Timer[Event])) }

func (h *timerHeap[Event]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil // lets the garbage collector free the timer
	*h = (*h)[:last]
	return popped
}
