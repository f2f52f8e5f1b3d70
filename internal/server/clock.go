package server

import "time"

// clockStart is the moment from which the reducer's time is counted, on both clocks.
var clockStart = time.Now()

// now is the time in the reducer's terms: the Unix time of the start of the process, advanced by the monotonic
// clock. Deadlines, waits and windows are spans of real time, so steps of the wall clock must not show in it.
func now() time.Duration { return time.Duration(clockStart.UnixNano()) + time.Since(clockStart) }

// wallOffset is by how much the wall clock is ahead of now: 0 until the wall clock is stepped. It serves to read
// dates that other machines have written.
func wallOffset() time.Duration { return time.Duration(time.Now().UnixNano()) - now() }
