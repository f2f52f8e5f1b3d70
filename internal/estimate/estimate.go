// Package estimate holds estimators: moving averages, quantiles, the spread of logarithms and the fraction of answers
// lost. A weight is that of one sample in an average, from 0 to 1.
package estimate

import (
	"math"
	"slices"
)

// EWMA moves an exponentially weighted moving average by one sample.
func EWMA[F ~float64](average, sample F, weight float64) F {
	return average + F(weight)*(sample-average)
}

// SampleWeight is the weight of the last of some samples. At first it makes a moving average the plain mean of all
// samples, so that the initial value does not count for long; it never falls below the smallest weight.
func SampleWeight(smallest, samples float64) float64 { return max(smallest, 1/samples) }

// Median is the lower median of some values, 0 of none. It sorts them.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// MeanVariance is the moving mean and variance of a logarithm.
type MeanVariance struct{ Mean, Variance float64 }

// Observe takes a sample.
func (s *MeanVariance) Observe(sample, weight float64) {
	s.Variance = EWMA(s.Variance, (sample-s.Mean)*(sample-s.Mean), weight)
	s.Mean = EWMA(s.Mean, sample, weight)
}

// UpperQuantile is the value that a fraction of the samples exceeds, if they are normally distributed.
func (s *MeanVariance) UpperQuantile(exceeding float64) float64 {
	z := math.Sqrt2 * math.Erfinv(1-2*exceeding)
	return s.Mean + z*math.Sqrt(s.Variance)
}

// Loss counts outcomes, which are answers that came or never came, and those that never came. Both counts
// decay, so they are not integers.
type Loss struct{ Lost, Outcomes float64 }

// RecordAnswer counts an answer that came.
func (l *Loss) RecordAnswer() { l.Outcomes++ }

// RecordLoss counts an answer as lost, with a certainty from 0 to 1.
func (l *Loss) RecordLoss(certainty float64) { l.Lost, l.Outcomes = l.Lost+certainty, l.Outcomes+1 }

// RevertLoss takes back what Lose counted, as the answer came after all.
func (l *Loss) RevertLoss(certainty float64) { l.Lost = max(0, l.Lost-certainty) }

// Decay multiplies both counts by a factor below 1, so that old answers count for less.
func (l *Loss) Decay(factor float64) { l.Outcomes, l.Lost = l.Outcomes*factor, l.Lost*factor }

// Rate is the fraction of answers lost, drawn towards a prior fraction, whose weight is given in answers.
func (l *Loss) Rate(prior, priorAnswers float64) float64 {
	return (l.Lost + prior*priorAnswers) / (l.Outcomes + priorAnswers)
}

// Floor follows a low quantile of a logarithm, in steps that shrink with the weight of the samples.
type Floor struct {
	level float64
	known bool
}

const (
	floorDownFactor = 3.0   // factor by which steps down are larger than steps up
	floorUpOffset   = 0.01  // subtracted from a step up, which keeps the level low while samples are few
	floorMinStep    = 0.001 // step of a floor that has seen many samples
)

// Observe takes a sample and returns how far it is over the level.
func (f *Floor) Observe(sample, weight float64) float64 {
	if !f.known {
		f.level, f.known = sample, true
	}
	if sample < f.level {
		f.level -= floorDownFactor * max(weight, floorMinStep)
	} else {
		f.level += max(weight-floorUpOffset, floorMinStep)
	}
	return sample - f.level
}

// HighRatio follows the ratio of observed to estimated values that four in five samples stay below.
type HighRatio float64

const (
	highRatioStep     = 0.03 // relative size of a step
	highRatioQuantile = 0.8
)

// Observe takes a sample.
func (r *HighRatio) Observe(observed, estimated float64) {
	direction := highRatioQuantile - 1
	if observed > estimated*float64(*r) {
		direction = highRatioQuantile
	}
	*r *= HighRatio(1 + highRatioStep*direction)
}

// SelfWeightedMean is a mean in which the weight of each value is the value itself, so that large values count most.
type SelfWeightedMean struct{ sum, squares float64 }

// Add takes a value.
func (s *SelfWeightedMean) Add(value float64) { s.sum, s.squares = s.sum+value, s.squares+value*value }

// Mean returns the mean; ok is false while the values sum to nothing.
func (s *SelfWeightedMean) Mean() (mean float64, ok bool) {
	if s.sum <= 0 {
		return 0, false
	}
	return s.squares / s.sum, true
}
