package telemetry

import "time"

// Clock provides the time and the ticks that end intervals.
type Clock struct {
	Wall      func() time.Duration // since the Unix epoch
	Monotonic func() time.Duration // since an arbitrary fixed time
	// Ticker returns a channel that delivers a tick at the end of each interval, a function that changes the
	// length of the interval, and one that stops the ticks.
	Ticker func(every time.Duration) (ticks <-chan time.Time, reset func(every time.Duration), stop func())
}

// SystemClock returns the operating system's clock.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		// Round(0) strips the monotonic reading, so that the time follows the wall clock when it is set.
		Wall:      func() time.Duration { return time.Duration(time.Now().Round(0).UnixNano()) },
		Monotonic: func() time.Duration { return time.Since(start) },
		Ticker: func(every time.Duration) (<-chan time.Time, func(time.Duration), func()) {
			ticker := time.NewTicker(every)
			return ticker.C, ticker.Reset, ticker.Stop
		},
	}
}
