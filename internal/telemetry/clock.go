package telemetry

import "time"

// Clock gives the time and the ends of intervals.
type Clock struct {
	Wall      func() time.Duration // since 1970
	Monotonic func() time.Duration // since any fixed moment
	// Ticker returns a channel that receives once an interval, and the functions that change its length
	// and end it.
	Ticker func(every time.Duration) (ticks <-chan time.Time, reset func(every time.Duration), stop func())
}

// SystemClock is the operating system's.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		// Round strips the monotonic reading: without it a time follows the wall clock when that is
		// set.
		Wall:      func() time.Duration { return time.Duration(time.Now().Round(0).UnixNano()) },
		Monotonic: func() time.Duration { return time.Since(start) },
		Ticker: func(every time.Duration) (<-chan time.Time, func(time.Duration), func()) {
			ticker := time.NewTicker(every)
			return ticker.C, ticker.Reset, ticker.Stop
		},
	}
}
