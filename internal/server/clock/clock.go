// Package clock provides the reducer's time: the Unix time of the start of the process, advanced by the monotonic
// clock. Deadlines, waits and windows are durations of real time, so steps of the wall clock must not affect them.
package clock

import "time"

// start is the start of the process, with wall-clock and monotonic readings.
var start = time.Now()

// Now returns the current time of the reducer.
func Now() time.Duration { return At(time.Now()) }

// At converts t, which must have a monotonic clock reading, to the reducer's time.
func At(t time.Time) time.Duration { return time.Duration(start.UnixNano()) + t.Sub(start) }

// WallOffset returns how far the wall clock is ahead of Now: 0 until the wall clock is stepped. Use it to interpret
// timestamps from other machines.
func WallOffset() time.Duration { return time.Duration(time.Now().UnixNano()) - Now() }
