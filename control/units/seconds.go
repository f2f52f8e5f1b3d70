package units

import "time"

// Seconds is a time that takes part in floating-point estimates, where rounding it to a time.Duration would
// change what follows from it.
type Seconds float64

// SecondsOf converts a duration.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Duration converts a time, of at most maxSeconds.
func (s Seconds) Duration() time.Duration { return Duration(float64(s)) }

// OnThreads is the time that the work takes on a number of threads.
func (w ThreadSeconds) OnThreads(threads int) Seconds {
	return Seconds(float64(w) / float64(threads))
}

// PerSecond is a rate in events a second.
type PerSecond float64

// Rate is the rate at which a number of events happened within a time.
func Rate(events int, within time.Duration) PerSecond {
	return PerSecond(float64(events) / within.Seconds())
}
