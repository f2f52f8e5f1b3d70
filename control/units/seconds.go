package units

import "time"

// Seconds is a duration in floating-point estimates, where rounding to a time.Duration would change the
// results.
type Seconds float64

// SecondsOf converts a time.Duration to Seconds.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Duration converts to a time.Duration of at most maxSeconds.
func (s Seconds) Duration() time.Duration { return Duration(float64(s)) }

// OnThreads returns the time that the work takes on a number of threads.
func (w ThreadSeconds) OnThreads(threads int) Seconds {
	return Seconds(float64(w) / float64(threads))
}

// PerSecond is a rate in events per second.
type PerSecond float64

// Rate returns the rate at which a number of events occurred within a time.
func Rate(events int, within time.Duration) PerSecond {
	return PerSecond(float64(events) / within.Seconds())
}
