// Package estimate provides estimators: moving averages and variances, quantiles, and the fraction of lost answers. A
// weight is the weight of one sample in an average, from 0 to 1.
package estimate

import (
	"math"
	"slices"
)

// EWMA returns an exponentially weighted moving average, updated by one sample.
func EWMA[F ~float64](average, sample F, weight float64) F {
	return average + F(weight)*(sample-average)
}

// SampleWeight returns the weight of the latest sample, given the number of samples so far. While there are few
// samples, the moving average is the plain mean of all samples, so that the initial value soon has no effect. The
// weight never falls below the smallest weight.
func SampleWeight(smallest, samples float64) float64 { return max(smallest, 1/samples) }

// Median returns the lower median of the values, or 0 if there are none. It sorts the values in place.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// MeanVariance is the moving mean and variance of a quantity.
type MeanVariance struct{ Mean, Variance float64 }

// Observe adds a sample.
func (s *MeanVariance) Observe(sample, weight float64) {
	s.Variance = EWMA(s.Variance, (sample-s.Mean)*(sample-s.Mean), weight)
	s.Mean = EWMA(s.Mean, sample, weight)
}

// UpperQuantile returns the value that a fraction of the samples exceeds, if the samples are normally distributed.
func (s *MeanVariance) UpperQuantile(exceeding float64) float64 {
	z := math.Sqrt2 * math.Erfinv(1-2*exceeding)
	return s.Mean + z*math.Sqrt(s.Variance)
}

// Loss counts outcomes, which are answers that were received or lost, and the lost answers among them. Both counts
// decay, so they are not integers.
type Loss struct{ Lost, Outcomes float64 }

// RecordAnswer counts a received answer.
func (l *Loss) RecordAnswer() { l.Outcomes++ }

// RecordLoss counts an answer as lost, weighted with a confidence from 0 to 1.
func (l *Loss) RecordLoss(confidence float64) { l.Lost, l.Outcomes = l.Lost+confidence, l.Outcomes+1 }

// RevertLoss reverts a call of RecordLoss, for an answer that arrived late.
func (l *Loss) RevertLoss(confidence float64) { l.Lost = max(0, l.Lost-confidence) }

// Decay multiplies both counts by a factor below 1, which lowers the weight of earlier answers.
func (l *Loss) Decay(factor float64) { l.Outcomes, l.Lost = l.Outcomes*factor, l.Lost*factor }

// Rate returns the fraction of lost answers, shrunk toward a prior fraction with a weight in answers.
func (l *Loss) Rate(prior, priorAnswers float64) float64 {
	return (l.Lost + prior*priorAnswers) / (l.Outcomes + priorAnswers)
}

// Floor tracks a low quantile of a quantity, in steps that shrink with the weight of the samples.
type Floor struct {
	level float64
	known bool
}

const (
	floorDownFactor = 3.0   // ratio of the steps down to the steps up
	floorUpOffset   = 0.01  // subtracted from steps up, which keeps the level low while there are few samples
	floorMinStep    = 0.001 // step once there have been many samples
)

// Observe adds a sample and returns its difference to the updated level.
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

// HighRatio tracks the highRatioQuantile of the ratio of observed to estimated values.
type HighRatio float64

const (
	highRatioStep     = 0.03 // size of a step, relative to the ratio
	highRatioQuantile = 0.8
)

// Observe adds a sample.
func (r *HighRatio) Observe(observed, estimated float64) {
	direction := highRatioQuantile - 1
	if observed > estimated*float64(*r) {
		direction = highRatioQuantile
	}
	*r *= HighRatio(1 + highRatioStep*direction)
}

// SelfWeightedMean computes a mean in which the weight of each value is the value itself, so that large values
// dominate.
type SelfWeightedMean struct{ sum, squares float64 }

// Add adds a value.
func (s *SelfWeightedMean) Add(value float64) { s.sum, s.squares = s.sum+value, s.squares+value*value }

// Mean returns the mean; ok is false if the sum of the values is not positive.
func (s *SelfWeightedMean) Mean() (mean float64, ok bool) {
	if s.sum <= 0 {
		return 0, false
	}
	return s.squares / s.sum, true
}
