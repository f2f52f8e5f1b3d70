package delivery

import (
	"slices"
	"time"

	"wheatlane/internal/metrics"
)

// maxFoldedSpan bounds what is folded into one interval. It is well under the time for which a retired name
// keeps its slot, so that no interval has the counts of two names in one series.
const maxFoldedSpan = time.Hour

// queuedInterval is an interval that waits or is being written.
type queuedInterval struct {
	interval    *metrics.Interval
	memoryBytes int
	recordsSent int
	untried     bool // it is the newest, and no write of it was started
}

func newQueuedInterval(interval *metrics.Interval, untried bool) *queuedInterval {
	return &queuedInterval{interval: interval, memoryBytes: interval.MemoryBytes(), untried: untried}
}

// queue holds the intervals to deliver within a memory budget, oldest first, and counts what is lost.
type queue struct {
	memoryBudget int // bytes, with those of the interval being written
	maxWaiting   int // intervals beside the one being written; 0: as many as the budget takes

	intervals []*queuedInterval
	writing   *queuedInterval // one of intervals, or nil

	lostIntervals uint64
	lostSamples   float64
}

func (q *queue) empty() bool { return len(q.intervals) == 0 }

func (q *queue) newest() *queuedInterval { return q.intervals[len(q.intervals)-1] }

func (q *queue) oldest() *queuedInterval { return q.intervals[0] }

// heldBytes is the memory of all intervals.
func (q *queue) heldBytes() int {
	total := 0
	for _, queued := range q.intervals {
		total += queued.memoryBytes
	}
	return total
}

// foldedCount is how many intervals the queue holds, each of those that are folded into one counted.
func (q *queue) foldedCount() uint64 {
	var total uint64
	for _, queued := range q.intervals {
		total += queued.interval.MergedCount
	}
	return total
}

// add appends a new interval.
func (q *queue) add(interval *metrics.Interval) {
	for _, queued := range q.intervals {
		queued.untried = false
	}
	q.intervals = append(q.intervals, newQueuedInterval(interval, true))
	q.enforceLimits()
}

// rewind has each interval sent from its first record.
func (q *queue) rewind() {
	for _, queued := range q.intervals {
		queued.recordsSent = 0
	}
}

// complete removes the interval being written, which is delivered, and returns it.
func (q *queue) complete() *queuedInterval {
	delivered := q.writing
	q.writing = nil
	if i := slices.Index(q.intervals, delivered); i >= 0 {
		q.intervals = slices.Delete(q.intervals, i, i+1)
	}
	return delivered
}

// loseAll counts as lost what is left.
func (q *queue) loseAll() {
	for _, queued := range q.intervals {
		q.countLost(queued.interval)
	}
	q.intervals, q.writing = nil, nil
}

func (q *queue) countLost(interval *metrics.Interval) {
	q.lostIntervals += interval.MergedCount
	q.lostSamples += interval.SampleCount()
}

// enforceLimits folds intervals before it drops distributions, and drops those before it drops intervals.
func (q *queue) enforceLimits() {
	for q.overLimits() {
		if !q.foldNeighbors() && !q.dropDistributions() && !q.dropOldest() {
			return // what is being written stays, also over the budget
		}
	}
}

func (q *queue) overLimits() bool {
	waiting := len(q.intervals)
	if q.writing != nil {
		waiting--
	}
	return q.overBudget() || q.maxWaiting > 0 && waiting > q.maxWaiting
}

func (q *queue) overBudget() bool { return q.heldBytes() > q.memoryBudget }

// unchangeable reports whether records of an interval were sent, or are being sent: their numbers count in the
// interval as it is.
func (q *queue) unchangeable(queued *queuedInterval) bool {
	return queued == q.writing || queued.recordsSent > 0
}

// foldNeighbors folds the two neighbors that hold the fewest intervals together, the oldest such pair: the
// resolution of an outage stays even, and coarsens as it lasts. The newest interval is folded only where no more
// than one may wait.
func (q *queue) foldNeighbors() bool {
	i := q.bestFold()
	if i < 0 {
		return false
	}
	earlier, later := q.intervals[i], q.intervals[i+1]
	folded, err := metrics.Merge(earlier.interval, later.interval)
	if err != nil { // a sketch can't be decoded: its samples are lost, the counters are not
		q.lostSamples += earlier.interval.SampleCount()
		if folded, err = metrics.Merge(earlier.interval.WithoutDistributions(), later.interval); err != nil {
			return false
		}
	}
	q.intervals[i] = newQueuedInterval(folded, later.untried)
	q.intervals = slices.Delete(q.intervals, i+1, i+2)
	return true
}

// bestFold is the place of the first of the two neighbors to fold, or -1 if there are none.
func (q *queue) bestFold() int {
	end := len(q.intervals) - 1
	if q.maxWaiting == 1 {
		end++
	}
	best, fewest := -1, uint64(0)
	for i := 0; i+1 < end; i++ {
		earlier, later := q.intervals[i], q.intervals[i+1]
		span := earlier.interval.Duration + later.interval.Duration
		if q.unchangeable(earlier) || q.unchangeable(later) || span > maxFoldedSpan {
			continue
		}
		if count := earlier.interval.MergedCount + later.interval.MergedCount; best < 0 || count < fewest {
			best, fewest = i, count
		}
	}
	return best
}

// dropDistributions drops those of the oldest interval that has some; the newest one's go last.
func (q *queue) dropDistributions() bool {
	if !q.overBudget() { // fewer bytes don't help against too many intervals
		return false
	}
	for _, queued := range q.intervals {
		if q.unchangeable(queued) || len(queued.interval.Distributions) == 0 {
			continue
		}
		q.lostSamples += queued.interval.SampleCount()
		queued.interval = queued.interval.WithoutDistributions()
		queued.memoryBytes = queued.interval.MemoryBytes()
		return true
	}
	return false
}

// dropOldest drops the oldest interval that is not being written.
func (q *queue) dropOldest() bool {
	for i, queued := range q.intervals {
		if queued != q.writing {
			q.countLost(queued.interval)
			q.intervals = slices.Delete(q.intervals, i, i+1)
			return true
		}
	}
	return false
}
