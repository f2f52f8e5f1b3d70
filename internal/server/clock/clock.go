// Package clock gives the time in the reducer's terms: the Unix time of the start of the process, advanced by the
// monotonic clock. Deadlines, waits and windows are spans of real time, so steps of the wall clock must not show.
package clock

import "time"

// start is the moment from which the reducer's time is counted, on both clocks.
var start = time.Now()

// Now returns the present moment.
func Now() time.Duration { return At(time.Now()) }

// At returns a moment that was read with its monotonic part.
func At(t time.Time) time.Duration { return time.Duration(start.UnixNano()) + t.Sub(start) }

// WallOffset returns how far the wall clock is ahead of Now: 0 until the wall clock is stepped. It serves to read
// dates that other machines have written.
func WallOffset() time.Duration { return time.Duration(time.Now().UnixNano()) - Now() }
