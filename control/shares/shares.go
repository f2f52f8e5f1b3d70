// Package shares sets the shares that the classes of requests have of a broker's service. A linear model,
// fitted to what each interval showed, predicts latency and throughput by the shares; an optimizer finds the
// shares that earn most by it, and a regulator moves toward them. Section and figure numbers are those of
// "Proteus" (Karlsson and Karamanolis, Middleware 2006).
package shares

import (
	"gonum.org/v1/gonum/floats"

	"wheatlane/control/units"
	"wheatlane/internal/rls"
)

// Config holds the constants of the regulator and its optimizer.
type Config struct {
	ChangePenalty float64        // of the model's input (section 3.2): the larger, the slower shares move
	MinShare      units.Fraction // no class falls under it
	MaxSteps      int            // the most steps in which the optimizer hands out the shares
	Tolerance     float64        // shares and utilities that differ by less are equal
}

// DefaultConfig returns the constants that brokers use.
func DefaultConfig() Config {
	return Config{ChangePenalty: 0.5, MinShare: 0.05, MaxSteps: 50, Tolerance: 1e-9}
}

// outputsPerClass is the number of outputs of the model for each class: those of Output.
const outputsPerClass = 2

// Output is what the last interval with answers showed of a class, as ratios in which more is better.
type Output struct {
	InverseLatency float64 // latency objective over latency
	Throughput     float64 // answers a second over the averaged arrival rate plus 1 a second
}

// Class is what an interval showed of a class, with what its answers earn.
type Class struct {
	Output
	Answers        int // in the interval
	ArrivalRate    units.PerSecond
	PriorityWeight float64        // what an answer within the latency objective counts for
	LateWeight     units.Fraction // fraction of it that a later answer counts for
}

// Regulator holds the shares.
type Regulator struct {
	config Config
	shares []float64 // by class index, 1 in sum
	model  *rls.Regulator
}

// New returns a regulator that starts at these shares, 1 in sum.
func New(config Config, initial []float64) Regulator {
	r := Regulator{config: config, shares: initial}
	r.resetModel()
	return r
}

// Equal returns equal shares for a number of classes.
func Equal(classes int) []float64 {
	equal := make([]float64, classes)
	for i := range equal {
		equal[i] = 1 / float64(classes)
	}
	return equal
}

// Share is a class's share.
func (r *Regulator) Share(class int) units.Fraction { return units.Fraction(r.shares[class]) }

// CloseInterval takes an interval's classes, by their indexes, and moves the shares. An interval that is not
// regular, as a standstill made it longer, breaks the sequence that the model is fitted to.
func (r *Regulator) CloseInterval(classes []Class, regular bool) {
	outputs, seen := make([]float64, 0, outputsPerClass*len(classes)), make([]bool, 0, len(classes))
	answers := 0
	for _, class := range classes {
		outputs = append(outputs, class.InverseLatency, class.Throughput)
		seen = append(seen, class.Answers > 0)
		answers += class.Answers
	}
	if !regular {
		r.model.Restart(outputs)
		return
	}
	r.model.Observe(outputs, seen)
	if answers <= 0 {
		return
	}
	target := optimize(r.config, r, classes, answers)
	r.shares = r.model.Decide(r.model.Predict(target), float64(r.config.MinShare), 1)
	floats.Scale(1/floats.Sum(r.shares), r.shares)
	r.model.SetInput(r.shares)
}

// Predict is a class's output at these shares, by the model.
func (r *Regulator) Predict(class int, shares []float64) Output {
	first := outputsPerClass * class
	return Output{
		InverseLatency: r.model.PredictOutput(first, shares),
		Throughput:     r.model.PredictOutput(first+1, shares),
	}
}

// Coefficients returns a copy of the model's coefficients, for tests.
func (r *Regulator) Coefficients() []float64 { return r.model.Coefficients() }

// AddClass gives one more class the share that it would have among equal ones. Restart must follow.
func (r *Regulator) AddClass() { r.shares = append(r.shares, 1/float64(len(r.shares)+1)) }

// Restart makes the shares 1 in sum again and starts a new model, as the old one is of fewer classes.
func (r *Regulator) Restart() {
	sum := 0.0
	for _, share := range r.shares {
		sum += share
	}
	for i := range r.shares {
		r.shares[i] /= sum
	}
	r.resetModel()
}

func (r *Regulator) resetModel() {
	config := rls.DefaultConfig()
	config.OutputsPerGroup, config.Groups = outputsPerClass, len(r.shares)
	config.InputPenalty = r.config.ChangePenalty
	r.model = rls.New(config, r.shares)
}
