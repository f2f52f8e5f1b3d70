// Package processpause handles pauses of the whole process, as when its machine was suspended: it detects them by the
// iterations of the server's loop, and delays the loop so that data that arrived during a pause is read first.
package processpause

import (
	"sync/atomic"
	"time"
)

const (
	// MaxLoopInterval is the maximum time between loop iterations, short enough that a process pause is detected.
	MaxLoopInterval = 20 * time.Millisecond
	// pauseThreshold is the lag of the loop above which the process counts as paused.
	pauseThreshold = 25 * time.Millisecond
	// arrivalUncertainty is the time after a process pause during which reads may return bytes that arrived within
	// the pause.
	arrivalUncertainty = 100 * time.Millisecond
)

// Detector detects process pauses from the times of loop iterations, which the loop records. Any goroutine may call
// EarliestArrival. Times are those of the reducer.
type Detector struct {
	lastIteration        atomic.Int64 // 0 before the first iteration
	pauseStart, pauseEnd atomic.Int64 // of the last process pause
}

// RecordIteration records a loop iteration, and a process pause if one has ended since the previous iteration.
func (d *Detector) RecordIteration(now time.Duration) {
	last := time.Duration(d.lastIteration.Swap(int64(now)))
	if isPause(last, now) {
		d.pauseStart.Store(int64(last))
		d.pauseEnd.Store(int64(now))
	}
}

// EarliestArrival returns the earliest time at which bytes may have arrived that were read at readAt by a goroutine
// that was waiting for them. This is readAt, or the start of a process pause that is ongoing or ended less than
// arrivalUncertainty before readAt.
func (d *Detector) EarliestArrival(readAt time.Duration) time.Duration {
	if last := time.Duration(d.lastIteration.Load()); isPause(last, readAt) {
		return last // the loop has not run since
	}
	if to := time.Duration(d.pauseEnd.Load()); to > 0 && readAt-to < arrivalUncertainty {
		return time.Duration(d.pauseStart.Load())
	}
	return readAt
}

// isPause reports whether the process was paused between lastIteration and now. lastIteration is 0 before the first
// iteration of the loop.
func isPause(lastIteration, now time.Duration) bool {
	return lastIteration > 0 && now-lastIteration > MaxLoopInterval+pauseThreshold
}
