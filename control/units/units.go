// Package units holds the quantities that the decision module computes with, where a time.Duration does not
// fit. Each has a type of its own, so that a signature says what goes in and what comes out.
package units

import (
	"math"
	"time"
)

// ThreadSeconds is an amount of work: the time, in seconds, that one thread of an engine takes for it.
type ThreadSeconds float64

// Fraction is an amount as a fraction of a whole: 0 is none of it, 1 all of it. A load may be over 1, where
// more is asked than the whole.
type Fraction float64

// LogRatio is the natural logarithm of a ratio: 0 stands for equal, 0.69 for twice as much, 1.6 for five
// times.
type LogRatio float64

// Ratio is the ratio itself.
func (l LogRatio) Ratio() float64 { return math.Exp(float64(l)) }

// LogRatioOf is the logarithm of a ratio.
func LogRatioOf(ratio float64) LogRatio { return LogRatio(math.Log(ratio)) }

// maxSeconds bounds Duration at some days, so that no time overflows.
const maxSeconds = 1e6

// Duration converts a time in seconds, of at most maxSeconds.
func Duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}
