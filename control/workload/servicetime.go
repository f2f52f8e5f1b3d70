package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	spreadWeight       = 0.02                // weight of an answer in the spread of service times
	spreadGuessAnswers = 5                   // weight of the first guess of the spread, in answers
	initialVariance    = 1                   // of the logarithm of the ratio, before any answer
	minServiceTime     = units.Seconds(1e-4) // a shorter one is beyond the precision of clocks
)

// MeasuredServiceTime is a service time as measured, of at least 0.1 ms.
func MeasuredServiceTime(serviceTime time.Duration) units.Seconds {
	return max(units.SecondsOf(serviceTime), minServiceTime)
}

// ServiceTime estimates the spread of a class's service times: the ratio of each to what was expected of its
// request, as priorities and locks differ by class.
type ServiceTime struct {
	spread  estimate.MeanVariance // of the logarithm of the ratio
	answers int
}

// newServiceTime returns an estimate without answers.
func newServiceTime() ServiceTime {
	return ServiceTime{spread: estimate.MeanVariance{Variance: initialVariance}}
}

// Observe takes the service time of an answer and what was expected of it.
func (s *ServiceTime) Observe(took, expected units.Seconds) {
	s.answers++
	weight := estimate.SampleWeight(spreadWeight, float64(s.answers+spreadGuessAnswers))
	s.spread.Observe(float64(units.LogRatioOf(float64(took/expected))), weight)
}

// Typical is the service time of a typical request of which some time is expected.
func (s *ServiceTime) Typical(expected units.Seconds) time.Duration {
	return scaled(expected, units.LogRatio(s.spread.Mean))
}

// Quantile is the service time that a fraction of such requests exceeds.
func (s *ServiceTime) Quantile(expected units.Seconds, exceeding units.Fraction) time.Duration {
	return scaled(expected, units.LogRatio(s.spread.UpperQuantile(float64(exceeding))))
}

func scaled(expected units.Seconds, ratio units.LogRatio) time.Duration {
	return (expected * units.Seconds(ratio.Ratio())).Duration()
}
