package shares

import (
	"math"
	"slices"
)

// predictor predicts a class's output at given shares.
type predictor interface {
	Predict(class int, shares []float64) Output
}

// optimizer hands out shares greedily (figure 4 of the paper): each step goes to the class whose utility
// grows most for the share.
type optimizer struct {
	config    Config
	predictor predictor
	classes   []Class
	shares    []float64 // handed out so far
	utilities []float64 // at these shares; minus infinity for a class that has none yet
}

// optimize returns the shares, 1 in sum, that earn most by the predictor. The number of answers of the
// interval bounds the number of steps.
func optimize(config Config, p predictor, classes []Class, answers int) []float64 {
	n := len(classes)
	o := optimizer{
		config: config, predictor: p, classes: classes,
		shares: make([]float64, n), utilities: slices.Repeat([]float64{math.Inf(-1)}, n),
	}
	unit := math.Ceil(float64(answers)/float64(config.MaxSteps)) / float64(answers)
	for left := 1.0; left > config.Tolerance; {
		left -= o.handOut(unit, left)
	}
	return o.shares
}

// handOut gives the best class its next step and returns the size of the step.
func (o *optimizer) handOut(unit, left float64) (handedOut float64) {
	best, bestStep, bestGain := 0, left, math.Inf(-1)
	for class := range o.classes {
		step := o.gainingStep(class, unit, left)
		gain := (o.utility(class, step) - max(o.utilities[class], 0)) / step
		if gain > bestGain {
			best, bestStep, bestGain = class, step, gain
		}
	}
	o.shares[best] += bestStep
	o.utilities[best] = o.utility(best, 0)
	return bestStep
}

// gainingStep is the size of a class's next step: the smallest multiple of the unit that raises its utility.
// If no multiple up to what is left does, it is one unit.
func (o *optimizer) gainingStep(class int, unit, left float64) float64 {
	most, utility := left+o.config.Tolerance, o.utilities[class]+o.config.Tolerance
	step := unit
	for step <= most && o.utility(class, step) <= utility {
		step += unit
	}
	if step > most {
		return min(unit, left)
	}
	return step
}

// utility is the priority weight that a class earns a second at its share raised by a step.
func (o *optimizer) utility(class int, step float64) float64 {
	earns := &o.classes[class]
	o.shares[class] += step
	predicted := o.predictor.Predict(class, o.shares)
	o.shares[class] -= step
	onTime := min(1, max(0, predicted.InverseLatency))
	late := float64(earns.LateWeight)
	return earns.PriorityWeight * float64(earns.ArrivalRate) * min(1, max(0, predicted.Throughput)) *
		(late + (1-late)*onTime*onTime)
}
