// Package timerqueue implements a priority queue of timers ordered by expiry time. Timers with equal expiry times
// expire in the order in which they were set.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds timers, each with the event to handle when it expires. The zero value is an empty queue. It is not safe
// for concurrent use.
type Queue[Event any] struct {
	timers      timerHeap[Event]
	lastOrdinal uint64
}

type timer[Event any] struct {
	at      time.Duration
	ordinal uint64
	event   Event
}

// Set adds a timer that expires at the given time.
func (q *Queue[Event]) Set(at time.Duration, event Event) {
	heap.Push(&q.timers, timer[Event]{at, q.NextOrdinal(), event})
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

// PopDue removes the first timer and returns its event; ok is false if no timer is due at now.
func (q *Queue[Event]) PopDue(now time.Duration) (event Event, ok bool) {
	if at, set := q.NextAt(); !set || at > now {
		return event, false
	}
	return heap.Pop(&q.timers).(timer[Event]).event, true
}

// timerHeap implements heap.Interface.
type timerHeap[Event any] []timer[Event]

func (h timerHeap[Event]) Len() int { return len(h) }

func (h timerHeap[Event]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].ordinal < h[j].ordinal
}

func (h timerHeap[Event]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap[Event]) Push(x any) { *h = append(*h, x.(timer[Event])) }

func (h *timerHeap[Event]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer[Event]{} // lets the garbage collector free the event
	*h = (*h)[:last]
	return popped
}
