// Package standstill deals with times in which the whole process stood still, as when its machine was paused: it
// detects them by the turns of the broker's loop, and paces the loop so that what arrived meanwhile is read first.
package standstill

import (
	"sync/atomic"
	"time"
)

const (
	// MaxTurnInterval is the longest time between turns of the loop, so that a standstill is detected.
	MaxTurnInterval = 20 * time.Millisecond
	// standstillThreshold is the lag of the loop that means that the whole process stood still.
	standstillThreshold = 25 * time.Millisecond
	// arrivalUncertainty is how long after a standstill what is read may have arrived within it.
	arrivalUncertainty = 100 * time.Millisecond
)

// Detector knows the last standstill from the turns of the loop. The loop reports its turns; any goroutine may ask.
// Times are those of the reducer.
type Detector struct {
	lastTurn atomic.Int64 // of the loop; 0: it has had none
	from, to atomic.Int64 // of the last standstill
}

// LoopTurn records a turn of the loop.
func (d *Detector) LoopTurn(now time.Duration) {
	last := time.Duration(d.lastTurn.Swap(int64(now)))
	if isStandstill(last, now) {
		d.from.Store(int64(last))
		d.to.Store(int64(now))
	}
}

// EarliestArrival returns the earliest time at which bytes may have arrived that a goroutine waited for and read at a
// time: that time, or the start of a standstill that has just ended.
func (d *Detector) EarliestArrival(readAt time.Duration) time.Duration {
	if last := time.Duration(d.lastTurn.Load()); isStandstill(last, readAt) {
		return last // the loop has not had its turn since
	}
	if to := time.Duration(d.to.Load()); to > 0 && readAt-to < arrivalUncertainty {
		return time.Duration(d.from.Load())
	}
	return readAt
}

// isStandstill reports whether the process stood still between a turn of the loop, 0 if there was none, and a time.
func isStandstill(lastTurn, now time.Duration) bool {
	return lastTurn > 0 && now-lastTurn > MaxTurnInterval+standstillThreshold
}
