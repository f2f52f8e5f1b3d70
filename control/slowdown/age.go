package slowdown

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	usualAgeRatio = 2 // age ratio up to which an engine counts as not slow

	usualTimeOffset units.Seconds = 0.1 // added to the usual time of every attempt
)

// Attempt is an attempt in flight.
type Attempt struct {
	SentAt       time.Duration
	ExpectedWork units.ThreadSeconds
	Threads      int
}

// AgeRatio returns the age of the attempt over the time that it usually takes on an engine that is not slow.
func (a Attempt) AgeRatio(now time.Duration) float64 {
	usualTime := a.ExpectedWork.OnThreads(a.Threads) + usualTimeOffset
	return float64(units.SecondsOf(now-a.SentAt) / usualTime)
}

// SetAgeRatios sets the engine's age ratio to the median of the ratios of its attempts in flight, which a
// single long request can't change. It sorts the ratios in place.
func (e *Engine) SetAgeRatios(ratios []float64) { e.ageRatio = estimate.Median(ratios) }

// AgeAdjusted returns the larger of an engine's estimated slowdown and the slowdown that the age of its
// attempts implies.
func (e *Engine) AgeAdjusted(estimated units.LogRatio) units.LogRatio {
	if e.ageRatio <= usualAgeRatio { // the slowdown by age would be negative
		return estimated
	}
	return max(estimated, units.LogRatioOf(e.ageRatio/usualAgeRatio))
}
