package delivery

import (
	"slices"
	"time"

	"wheatlane/internal/metrics"
)

// maxMergedSpan is the maximum duration of a merged interval. It is well below the time for which a retired name keeps
// its slot, so that no interval has the counts of two names in one series.
const maxMergedSpan = time.Hour

// queuedInterval is an interval that is waiting or being written.
type queuedInterval struct {
	interval    *metrics.Interval
	memoryBytes int
	recordsSent int
	unattempted bool // newest interval, with no write started
}

func newQueuedInterval(interval *metrics.Interval, unattempted bool) *queuedInterval {
	return &queuedInterval{interval: interval, memoryBytes: interval.MemoryBytes(), unattempted: unattempted}
}

// queue holds the intervals to deliver, oldest first, within a memory budget, and counts lost intervals and samples.
type queue struct {
	memoryBudget int // bytes, including the interval being written
	maxWaiting   int // intervals, excluding the one being written; 0: limited by memoryBudget only

	intervals []*queuedInterval
	inFlight  *queuedInterval // element of intervals that is being written, or nil

	lostIntervals uint64
	lostSamples   float64
}

func (q *queue) empty() bool { return len(q.intervals) == 0 }

func (q *queue) newest() *queuedInterval { return q.intervals[len(q.intervals)-1] }

func (q *queue) oldest() *queuedInterval { return q.intervals[0] }

// heldBytes returns the memory of all intervals.
func (q *queue) heldBytes() int {
	total := 0
	for _, queued := range q.intervals {
		total += queued.memoryBytes
	}
	return total
}

// intervalCount returns the number of original intervals in the queue: a merged one counts as those it was merged from.
func (q *queue) intervalCount() uint64 {
	var total uint64
	for _, queued := range q.intervals {
		total += queued.interval.MergedCount
	}
	return total
}

// add appends a new interval.
func (q *queue) add(interval *metrics.Interval) {
	for _, queued := range q.intervals {
		queued.unattempted = false
	}
	q.intervals = append(q.intervals, newQueuedInterval(interval, true))
	q.enforceLimits()
}

// rewind makes each interval be sent from its first record.
func (q *queue) rewind() {
	for _, queued := range q.intervals {
		queued.recordsSent = 0
	}
}

// complete removes the interval being written, which was delivered, and returns it.
func (q *queue) complete() *queuedInterval {
	delivered := q.inFlight
	q.inFlight = nil
	if i := slices.Index(q.intervals, delivered); i >= 0 {
		q.intervals = slices.Delete(q.intervals, i, i+1)
	}
	return delivered
}

// dropAll removes all intervals and counts them as lost.
func (q *queue) dropAll() {
	for _, queued := range q.intervals {
		q.countLost(queued.interval)
	}
	q.intervals, q.inFlight = nil, nil
}

func (q *queue) countLost(interval *metrics.Interval) {
	q.lostIntervals += interval.MergedCount
	q.lostSamples += interval.SampleCount()
}

// enforceLimits shrinks the queue to its limits: it merges intervals first, then drops distributions, then intervals.
func (q *queue) enforceLimits() {
	for q.overLimits() {
		if !q.mergeNeighbors() && !q.dropDistributions() && !q.dropOldest() {
			return // the interval being written stays even if it exceeds the budget
		}
	}
}

func (q *queue) overLimits() bool {
	waiting := len(q.intervals)
	if q.inFlight != nil {
		waiting--
	}
	return q.overBudget() || q.maxWaiting > 0 && waiting > q.maxWaiting
}

func (q *queue) overBudget() bool { return q.heldBytes() > q.memoryBudget }

// isImmutable reports whether records of an interval were sent or are being sent. Such an interval must not change, as
// record numbers refer to its present content.
func (q *queue) isImmutable(queued *queuedInterval) bool {
	return queued == q.inFlight || queued.recordsSent > 0
}

// mergeNeighbors merges the pair of neighbors that represents the fewest original intervals, and the oldest such pair
// if several do. So the resolution of an outage is even and becomes coarser the longer it lasts. The newest interval is
// merged only if no more than one interval may wait. It returns false if there is no pair to merge.
func (q *queue) mergeNeighbors() bool {
	i := q.bestMergeIndex()
	if i < 0 {
		return false
	}
	earlier, later := q.intervals[i], q.intervals[i+1]
	merged, err := metrics.Merge(earlier.interval, later.interval)
	if err != nil { // a sketch can't be decoded: its samples are lost, but no counters
		q.lostSamples += earlier.interval.SampleCount()
		if merged, err = metrics.Merge(earlier.interval.WithoutDistributions(), later.interval); err != nil {
			return false
		}
	}
	q.intervals[i] = newQueuedInterval(merged, later.unattempted)
	q.intervals = slices.Delete(q.intervals, i+1, i+2)
	return true
}

// bestMergeIndex returns the index of the earlier of the two neighbors to merge, or -1 if there are none.
func (q *queue) bestMergeIndex() int {
	end := len(q.intervals) - 1
	if q.maxWaiting == 1 {
		end++
	}
	best, fewest := -1, uint64(0)
	for i := 0; i+1 < end; i++ {
		earlier, later := q.intervals[i], q.intervals[i+1]
		span := earlier.interval.Duration + later.interval.Duration
		if q.isImmutable(earlier) || q.isImmutable(later) || span > maxMergedSpan {
			continue
		}
		if count := earlier.interval.MergedCount + later.interval.MergedCount; best < 0 || count < fewest {
			best, fewest = i, count
		}
	}
	return best
}

// dropDistributions drops the distributions of the oldest interval that has any and may change. It returns false if
// there is none, or if the queue is within its memory budget.
func (q *queue) dropDistributions() bool {
	if !q.overBudget() { // dropping distributions does not reduce the number of intervals
		return false
	}
	for _, queued := range q.intervals {
		if q.isImmutable(queued) || len(queued.interval.Distributions) == 0 {
			continue
		}
		q.lostSamples += queued.interval.SampleCount()
		queued.interval = queued.interval.WithoutDistributions()
		queued.memoryBytes = queued.interval.MemoryBytes()
		return true
	}
	return false
}

// dropOldest drops the oldest interval that is not being written. It returns false if there is none.
func (q *queue) dropOldest() bool {
	for i, queued := range q.intervals {
		if queued != q.inFlight {
			q.countLost(queued.interval)
			q.intervals = slices.Delete(q.intervals, i, i+1)
			return true
		}
	}
	return false
}
