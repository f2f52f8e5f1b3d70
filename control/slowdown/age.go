package slowdown

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	usualAgeRatio = 2 // age ratio up to which an engine does not count as slow

	minUsualTime units.Seconds = 0.1 // added to the usual time of every attempt
)

// Attempt is an attempt that is in flight.
type Attempt struct {
	SentAt       time.Duration
	ExpectedWork units.ThreadSeconds
	Threads      int
}

// AgeRatio is the age of the attempt over the time that it takes on an engine that is not slow.
func (a Attempt) AgeRatio(now time.Duration) float64 {
	usualTime := a.ExpectedWork.OnThreads(a.Threads) + minUsualTime
	return float64(units.SecondsOf(now-a.SentAt) / usualTime)
}

// SetAgeRatios sets the engine's age ratio by those of the attempts in flight, which it sorts: to the median,
// which one long request can't move.
func (e *Engine) SetAgeRatios(ratios []float64) { e.ageRatio = estimate.Median(ratios) }

// AgeAdjusted is the larger of an engine's estimated slowdown and the one that the age of its attempts shows.
func (e *Engine) AgeAdjusted(estimated units.LogRatio) units.LogRatio {
	if e.ageRatio <= usualAgeRatio { // a slowdown is never below 0, and by the age it would be
		return estimated
	}
	return max(estimated, units.LogRatioOf(e.ageRatio/usualAgeRatio))
}
