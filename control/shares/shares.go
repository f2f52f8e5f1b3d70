// Package shares sets each request class's share of a broker's service. A linear model, fitted to the
// measurements of each interval, predicts latency and throughput from the shares; an optimizer finds the
// shares with the highest predicted utility, and a regulator moves toward them. Section and figure numbers
// refer to "Proteus" (Karlsson and Karamanolis, Middleware 2006).
package shares

import (
	"gonum.org/v1/gonum/floats"

	"wheatlane/control/units"
	"wheatlane/internal/rls"
)

// Config holds the parameters of the regulator and its optimizer.
type Config struct {
	ChangePenalty float64        // penalty on changes of shares (section 3.2), which slows them down
	MinShare      units.Fraction // smallest share of a class, before shares are scaled to sum to 1
	MaxSteps      int            // maximum number of steps in which the optimizer allocates the shares
	Tolerance     float64        // shares and utilities that differ by less count as equal
}

// DefaultConfig returns the parameters that brokers use.
func DefaultConfig() Config {
	return Config{ChangePenalty: 0.5, MinShare: 0.05, MaxSteps: 50, Tolerance: 1e-9}
}

// outputsPerClass is the number of outputs of the model for each class: the fields of Output.
const outputsPerClass = 2

// Output holds the measurements of a class in its last interval with answers, as ratios. Higher is better.
type Output struct {
	InverseLatency float64 // latency objective over latency
	Throughput     float64 // answers per second over the mean arrival rate plus 1 per second
}

// Class holds the measurements of a class in an interval, and the weights of its answers.
type Class struct {
	Output
	Answers        int // number of answers in the interval
	ArrivalRate    units.PerSecond
	PriorityWeight float64        // value of an answer within the latency objective
	LateWeight     units.Fraction // fraction of PriorityWeight that a late answer is worth
}

// Regulator holds the shares and adjusts them after each interval.
type Regulator struct {
	config Config
	shares []float64 // by class index; they sum to 1
	model  *rls.Regulator
}

// New returns a regulator that starts at the initial shares, which must sum to 1.
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

// Share returns a class's share.
func (r *Regulator) Share(class int) units.Fraction { return units.Fraction(r.shares[class]) }

// CloseInterval adjusts the shares to the measurements of an interval, by class index. An interval that is
// not regular, because a process pause made it longer, interrupts the sequence that the model is fitted to.
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

// Predict returns the output of a class that the model predicts for the given shares.
func (r *Regulator) Predict(class int, shares []float64) Output {
	first := outputsPerClass * class
	return Output{
		InverseLatency: r.model.PredictOutput(first, shares),
		Throughput:     r.model.PredictOutput(first+1, shares),
	}
}

// Coefficients returns a copy of the model's coefficients, for tests.
func (r *Regulator) Coefficients() []float64 { return r.model.Coefficients() }

// MoveClasses moves the classes to new indexes: previous holds the index that each had before, negative for
// one that is new. A new class gets the share that it would have if the shares up to it were equal. The
// shares are scaled to sum to 1, and a new model is started, as the previous one has other classes.
func (r *Regulator) MoveClasses(previous []int) {
	moved, sum := make([]float64, len(previous)), 0.0
	for i, from := range previous {
		moved[i] = 1 / float64(i+1)
		if from >= 0 {
			moved[i] = r.shares[from]
		}
		sum += moved[i]
	}
	for i := range moved {
		moved[i] /= sum
	}
	r.shares = moved
	r.resetModel()
}

func (r *Regulator) resetModel() {
	config := rls.DefaultConfig()
	config.OutputsPerGroup, config.Groups = outputsPerClass, len(r.shares)
	config.InputPenalty = r.config.ChangePenalty
	r.model = rls.New(config, r.shares)
}
