// Package units defines types for the quantities of the decision module that a time.Duration does not
// represent. Each quantity has its own type, so that signatures state the units of parameters and results.
package units

import (
	"math"
	"time"
)

// ThreadSeconds is an amount of work: the time in seconds that one thread of an engine needs for it.
type ThreadSeconds float64

// Fraction is an amount as a fraction of a whole, from 0 to 1. A load may exceed 1, where the demand
// exceeds the capacity.
type Fraction float64

// LogRatio is the natural logarithm of a ratio: 0 means equal, 0.69 a ratio of 2, and 1.6 a ratio of 5.
type LogRatio float64

// Ratio returns the ratio.
func (l LogRatio) Ratio() float64 { return math.Exp(float64(l)) }

// LogRatioOf returns the logarithm of a ratio.
func LogRatioOf(ratio float64) LogRatio { return LogRatio(math.Log(ratio)) }

// maxSeconds bounds the results of Duration, at about 11 days, so that sums of durations don't overflow.
const maxSeconds = 1e6

// Duration converts seconds to a time.Duration of at most maxSeconds.
func Duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}
