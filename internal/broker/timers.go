package broker

import (
	"container/heap"
	"time"

	"wheatlane/control"
)

// timerEvent is what a timer stands for; its types are in this file.
type timerEvent interface {
	expire(b *Broker, now time.Duration)
}

type (
	// moduleTimer is one that the decision module has set.
	moduleTimer struct{ token uint64 }
	// attemptTimedOut: an attempt has had its time.
	attemptTimedOut struct{ attempt *attempt }
	// attemptSettled: an attempt that has ended counts as such, as nothing of it can be overtaken any more.
	attemptSettled struct {
		attempt *attempt
		end     control.AttemptEnded
	}
	// pageOverdue: so many pages were missing pageTimeout ago.
	pageOverdue struct {
		attempt *attempt
		missing int
	}
	// probeTimedOut: a load probe has had its time.
	probeTimedOut struct{ probeID uint64 }
	// shutdownOver: the time of a graceful shutdown is over.
	shutdownOver struct{}
)

func (t moduleTimer) expire(b *Broker, _ time.Duration) {
	b.batch.add(control.TimerFired{Token: t.token})
}

func (t attemptTimedOut) expire(b *Broker, _ time.Duration) {
	b.cancelAttempt(t.attempt, control.TimedOut)
}
func (t attemptSettled) expire(b *Broker, now time.Duration) { b.endAttempt(now, t.attempt, t.end) }
func (t pageOverdue) expire(b *Broker, now time.Duration)    { b.checkPages(now, t.attempt, t.missing) }

func (t probeTimedOut) expire(b *Broker, now time.Duration) {
	b.probeEnded(now, ProbeResult{ProbeID: t.probeID, Status: control.TimedOut})
}
func (shutdownOver) expire(b *Broker, now time.Duration) { b.sendFinalAnswers(now) }

// timerQueue holds the timers by time and, within one time, by the order in which they were set.
type timerQueue struct {
	heap        timerHeap
	lastOrdinal uint64
}

type timer struct {
	at      time.Duration
	ordinal uint64
	event   timerEvent
}

func (q *timerQueue) set(at time.Duration, event timerEvent) {
	heap.Push(&q.heap, timer{at, q.nextOrdinal(), event})
}

// nextOrdinal returns a number that neither a timer nor a load probe had before.
func (q *timerQueue) nextOrdinal() uint64 {
	q.lastOrdinal++
	return q.lastOrdinal
}

// nextAt is the time of the first timer; ok is false if there is none.
func (q *timerQueue) nextAt() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// popDue removes the first timer; ok is false if it is not due.
func (q *timerQueue) popDue(now time.Duration) (event timerEvent, ok bool) {
	if at, set := q.nextAt(); !set || at > now {
		return nil, false
	}
	return heap.Pop(&q.heap).(timer).event, true
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].ordinal < h[j].ordinal
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{} // so that what it refers to can be freed
	*h = (*h)[:last]
	return popped
}
