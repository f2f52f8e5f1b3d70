package shares

import (
	"math"
	"slices"
)

// predictor predicts a class's output at given shares.
type predictor interface {
	Predict(class int, shares []float64) Output
}

// optimizer allocates shares greedily (figure 4 of the paper): each step goes to the class whose utility
// grows most per unit of share.
type optimizer struct {
	config    Config
	predictor predictor
	classes   []Class
	shares    []float64 // allocated so far
	utilities []float64 // utilities at these shares; minus infinity for a class without a share
}

// optimize returns the shares, which sum to 1, with the highest predicted utility. The number of answers in
// the interval bounds the number of steps.
func optimize(config Config, p predictor, classes []Class, answers int) []float64 {
	n := len(classes)
	o := optimizer{
		config: config, predictor: p, classes: classes,
		shares: make([]float64, n), utilities: slices.Repeat([]float64{math.Inf(-1)}, n),
	}
	unit := math.Ceil(float64(answers)/float64(config.MaxSteps)) / float64(answers)
	for remaining := 1.0; remaining > config.Tolerance; {
		remaining -= o.allocateStep(unit, remaining)
	}
	return o.shares
}

// allocateStep gives the best class its next step and returns the size of the step.
func (o *optimizer) allocateStep(unit, remaining float64) (allocated float64) {
	best, bestStep, bestGain := 0, remaining, math.Inf(-1)
	for class := range o.classes {
		step := o.nextStep(class, unit, remaining)
		gain := (o.utility(class, step) - max(o.utilities[class], 0)) / step
		if gain > bestGain {
			best, bestStep, bestGain = class, step, gain
		}
	}
	o.shares[best] += bestStep
	o.utilities[best] = o.utility(best, 0)
	return bestStep
}

// nextStep returns the size of a class's next step: the smallest multiple of the unit that raises its
// utility. If no multiple up to the remaining share does, it is one unit.
func (o *optimizer) nextStep(class int, unit, remaining float64) float64 {
	maxStep, utility := remaining+o.config.Tolerance, o.utilities[class]+o.config.Tolerance
	step := unit
	for step <= maxStep && o.utility(class, step) <= utility {
		step += unit
	}
	if step > maxStep {
		return min(unit, remaining)
	}
	return step
}

// utility returns the priority weight per second that a class earns at its share plus a step.
func (o *optimizer) utility(class int, step float64) float64 {
	stats := &o.classes[class]
	o.shares[class] += step
	predicted := o.predictor.Predict(class, o.shares)
	o.shares[class] -= step
	onTime := min(1, max(0, predicted.InverseLatency))
	late := float64(stats.LateWeight)
	return stats.PriorityWeight * float64(stats.ArrivalRate) * min(1, max(0, predicted.Throughput)) *
		(late + (1-late)*onTime*onTime)
}
