package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	spreadWeight       = 0.02                // minimum weight of an answer in the distribution
	spreadPriorAnswers = 5                   // weight of the initial distribution, in answers
	initialVariance    = 1                   // variance of the log ratio before the first answer
	minServiceTime     = units.Seconds(1e-4) // shorter times are beyond the precision of clocks
)

// MeasuredServiceTime converts a measured service time, with a minimum of minServiceTime.
func MeasuredServiceTime(serviceTime time.Duration) units.Seconds {
	return max(units.SecondsOf(serviceTime), minServiceTime)
}

// ServiceTime estimates the distribution of a class's service times, relative to the time expected of each
// request. Each class has its own distribution, as priorities and locks differ by class.
type ServiceTime struct {
	spread  estimate.MeanVariance // of the logarithm of actual over expected service time
	answers int
}

// newServiceTime returns the estimate before the first answer.
func newServiceTime() ServiceTime {
	return ServiceTime{spread: estimate.MeanVariance{Variance: initialVariance}}
}

// Observe records the service time of an answer and the service time that was expected.
func (s *ServiceTime) Observe(took, expected units.Seconds) {
	s.answers++
	weight := estimate.SampleWeight(spreadWeight, float64(s.answers+spreadPriorAnswers))
	s.spread.Observe(float64(units.LogRatioOf(float64(took/expected))), weight)
}

// Typical returns the service time of a typical request with the given expected time.
func (s *ServiceTime) Typical(expected units.Seconds) time.Duration {
	return scaled(expected, units.LogRatio(s.spread.Mean))
}

// Quantile returns the service time that a fraction of the requests with the given expected time exceeds.
func (s *ServiceTime) Quantile(expected units.Seconds, exceeding units.Fraction) time.Duration {
	return scaled(expected, units.LogRatio(s.spread.UpperQuantile(float64(exceeding))))
}

func scaled(expected units.Seconds, ratio units.LogRatio) time.Duration {
	return (expected * units.Seconds(ratio.Ratio())).Duration()
}
