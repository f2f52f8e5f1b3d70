// Package processpause deals with times in which the whole process stood still, as when its machine was paused: it
// detects them by the iterations of the server's loop, and paces the loop so that what arrived meanwhile is read first.
package processpause

import (
	"sync/atomic"
	"time"
)

const (
	// MaxLoopInterval is the longest time between iterations of the loop, short enough that a standstill is detected.
	MaxLoopInterval = 20 * time.Millisecond
	// standstillThreshold is the lag of the loop that means that the whole process stood still.
	standstillThreshold = 25 * time.Millisecond
	// arrivalUncertainty is the time after a standstill in which bytes are read that may have arrived during it.
	arrivalUncertainty = 100 * time.Millisecond
)

// Detector detects standstills from the iterations of the loop. The loop records them; any goroutine may ask.
// Times are those of the reducer.
type Detector struct {
	lastIteration atomic.Int64 // 0: there was none
	from, to      atomic.Int64 // of the last standstill
}

// RecordIteration records an iteration of the loop, and a standstill if one has ended since the iteration before.
func (d *Detector) RecordIteration(now time.Duration) {
	last := time.Duration(d.lastIteration.Swap(int64(now)))
	if isStandstill(last, now) {
		d.from.Store(int64(last))
		d.to.Store(int64(now))
	}
}

// EarliestArrival returns the earliest time at which bytes may have arrived that were read at readAt by a goroutine
// that was waiting for them. That is readAt, or the start of a standstill that is under way or ended within
// arrivalUncertainty.
func (d *Detector) EarliestArrival(readAt time.Duration) time.Duration {
	if last := time.Duration(d.lastIteration.Load()); isStandstill(last, readAt) {
		return last // the loop has had no iteration since
	}
	if to := time.Duration(d.to.Load()); to > 0 && readAt-to < arrivalUncertainty {
		return time.Duration(d.from.Load())
	}
	return readAt
}

// isStandstill reports whether the process stood still between an iteration of the loop, 0 if there was none, and now.
func isStandstill(lastIteration, now time.Duration) bool {
	return lastIteration > 0 && now-lastIteration > MaxLoopInterval+standstillThreshold
}
