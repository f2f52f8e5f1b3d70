// Package estimate holds the estimators behind the decisions: moving averages, quantiles, the spread of logarithms and
// the share of answers lost. It decides nothing: callers do, by the estimates.
package estimate

import (
	"math"
	"slices"
)

// Toward moves an exponentially weighted moving average by one sample that has the weight gain.
func Toward[F ~float64](average, sample F, gain float64) F {
	return average + F(gain)*(sample-average)
}

// Gain is the weight of a sample that makes an average the mean of all n samples so far, until that weight falls below
// the least one. It spares an average a long way from its first guess.
func Gain(least, n float64) float64 { return max(least, 1/n) }

// Median is the lower median of some values, 0 of none. It sorts them.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Spread is the moving mean and variance of a logarithm, as of service times over what was expected of them.
type Spread struct{ Mean, Variance float64 }

// Observe takes a sample with the weight gain.
func (s *Spread) Observe(sample, gain float64) {
	s.Variance = Toward(s.Variance, (sample-s.Mean)*(sample-s.Mean), gain)
	s.Mean = Toward(s.Mean, sample, gain)
}

// UpperQuantile is the value that a share of samples exceeds, if they are normally distributed.
func (s *Spread) UpperQuantile(share float64) float64 {
	z := math.Sqrt2 * math.Erfinv(1-2*share)
	return s.Mean + z*math.Sqrt(s.Variance)
}

// Loss counts answers and those of them that never came. Both fade, so they are not integers.
type Loss struct{ Lost, Answers float64 }

// Answer counts an answer that came.
func (l *Loss) Answer() { l.Answers++ }

// Lose counts an answer as lost, as far as that is sure: confidence is from 0 to 1.
func (l *Loss) Lose(confidence float64) { l.Lost, l.Answers = l.Lost+confidence, l.Answers+1 }

// Recover takes back what Lose counted, as the answer came after all.
func (l *Loss) Recover(confidence float64) { l.Lost = max(0, l.Lost-confidence) }

// Fade leaves a part of the evidence, so that old answers count for less.
func (l *Loss) Fade(left float64) { l.Answers, l.Lost = l.Answers*left, l.Lost*left }

// Rate is the share of answers lost, shrunk to a prior share that weighs as much as so many answers.
func (l *Loss) Rate(prior, weight float64) float64 {
	return (l.Lost + prior*weight) / (l.Answers + weight)
}

// Floor follows a low quantile of a logarithm in ever smaller steps, three times as fast down as up.
type Floor struct {
	Level float64
	known bool
}

const (
	floorDown    = 3.0   // steps down are so many times those up
	floorBalance = 0.01  // what an upward step is less than the gain; keeps the level low while samples are few
	floorStep    = 0.001 // least step: the pace of a floor that has seen much
)

// Observe takes a sample with the weight gain and returns how far it is over the level.
func (f *Floor) Observe(sample, gain float64) float64 {
	if !f.known {
		f.Level, f.known = sample, true
	}
	if sample < f.Level {
		f.Level -= floorDown * max(gain, floorStep)
	} else {
		f.Level += max(gain-floorBalance, floorStep)
	}
	return sample - f.Level
}

const (
	ratioStep     = 0.03 // relative size of a step
	ratioQuantile = 0.8  // share of samples that the ratio is to cover
)

// HighRatio moves a ratio of observed to estimated values toward its quantile that covers four samples in five.
func HighRatio(ratio, observed, estimated float64) float64 {
	direction := ratioQuantile - 1
	if observed > estimated*ratio {
		direction = ratioQuantile
	}
	return ratio * (1 + ratioStep*direction)
}

// SelfWeighted is a mean in which each value weighs as much as itself: what a unit of load meets, where a plain mean is
// what a machine meets.
type SelfWeighted struct{ sum, squares float64 }

// Add takes a value.
func (s *SelfWeighted) Add(value float64) { s.sum, s.squares = s.sum+value, s.squares+value*value }

// Mean returns the mean; ok is false while the values sum to nothing.
func (s *SelfWeighted) Mean() (mean float64, ok bool) {
	if s.sum <= 0 {
		return 0, false
	}
	return s.squares / s.sum, true
}
