// Package rls implements a self-tuning regulator. It fits the linear model y(k+1) = A y(k) + B u(k) by recursive least
// squares with exponential forgetting, and solves for the input that minimises
// |y(k+1) - yref|^2 + |q (u(k) - u(k-1))|^2: see
// "Proteus" (Karlsson and Karamanolis, Middleware 2006), sections 3.1 and 3.2.
package rls

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Config holds the parameters of a regulator.
type Config struct {
	OutputsPerGroup   int     // outputs that are observed together; a group without an observation retains its fit
	Groups            int     // number of groups of outputs
	InputPenalty      float64 // q, the penalty on changes of the input
	InitialGain       float64 // initial value on the diagonals of A and B
	InitialCovariance float64 // initial variance of each coefficient
	ForgettingFactor  float64 // weight of earlier observations after one interval, at most 1
	MaxTrace          float64 // trace of a covariance matrix beyond which forgetting no longer scales it up
}

// DefaultConfig returns the parameters of section 3.2. The caller sets the groups and the penalty.
func DefaultConfig() Config {
	return Config{InitialGain: 0.5, InitialCovariance: 10, ForgettingFactor: 0.98, MaxTrace: 1e4}
}

// Regulator holds a fitted model with its last output and input. It is not safe for concurrent use.
type Regulator struct {
	config       Config
	output       []float64    // y
	input        []float64    // u
	coefficients *mat.Dense   // [A B]
	covariance   []*mat.Dense // of the coefficients, one for each group
	observed     bool         // the output of the previous interval was observed
}

// New returns a regulator with the initial input u.
func New(cfg Config, u []float64) *Regulator {
	outputs, inputs := cfg.OutputsPerGroup*cfg.Groups, len(u)
	r := &Regulator{
		config:       cfg,
		coefficients: mat.NewDense(outputs, outputs+inputs, nil),
		output:       make([]float64, outputs),
		input:        slices.Clone(u),
	}
	for i := range outputs {
		r.coefficients.Set(i, i, cfg.InitialGain)
		r.coefficients.Set(i, outputs+i/cfg.OutputsPerGroup, cfg.InitialGain)
	}
	for range cfg.Groups {
		p := mat.NewDense(outputs+inputs, outputs+inputs, nil)
		for i := range outputs + inputs {
			p.Set(i, i, cfg.InitialCovariance)
		}
		r.covariance = append(r.covariance, p)
	}
	return r
}

// Input returns the input of the current interval.
func (r *Regulator) Input() []float64 { return r.input }

// SetInput replaces the input that the last Decide returned by the input that is actually applied.
func (r *Regulator) SetInput(u []float64) { r.input = slices.Clone(u) }

// Coefficients returns a copy of the fitted [A B], row by row.
func (r *Regulator) Coefficients() []float64 {
	return slices.Clone(r.coefficients.RawMatrix().Data)
}

// PredictOutput returns the predicted output i at the input u.
func (r *Regulator) PredictOutput(i int, u []float64) float64 {
	coefficients := r.coefficients.RawRowView(i)
	sum := 0.0
	for j, v := range r.output {
		sum += coefficients[j] * v
	}
	for j, v := range u {
		sum += coefficients[len(r.output)+j] * v
	}
	return sum
}

// Predict returns all predicted outputs at the input u.
func (r *Regulator) Predict(u []float64) []float64 {
	out := make([]float64, len(r.output))
	for i := range out {
		out[i] = r.PredictOutput(i, u)
	}
	return out
}

// Interrupt ends the sequence of intervals: the next Observe starts a new one and fits nothing.
func (r *Regulator) Interrupt() { r.observed = false }

// Restart starts a new sequence of intervals with the output y, without fitting the model to y.
func (r *Regulator) Restart(y []float64) { r.output, r.observed = y, true }

// Observe fits the model to the outputs y of one interval, for each group that was observed.
func (r *Regulator) Observe(y []float64, observedGroups []bool) {
	if r.observed {
		phi := mat.NewVecDense(len(r.output)+len(r.input), append(slices.Clone(r.output), r.input...))
		for group := range r.covariance {
			if observedGroups[group] {
				r.fitGroup(group, phi, y)
			}
		}
	}
	r.Restart(y)
}

// fitGroup performs one step of recursive least squares for a group: phi holds the outputs and inputs of the previous
// interval, y the outputs of this one.
func (r *Regulator) fitGroup(group int, phi *mat.VecDense, y []float64) {
	p := r.covariance[group]
	var pPhi, gain mat.VecDense
	pPhi.MulVec(p, phi)
	gain.ScaleVec(1/(r.config.ForgettingFactor+mat.Dot(phi, &pPhi)), &pPhi)
	for i := group * r.config.OutputsPerGroup; i < (group+1)*r.config.OutputsPerGroup; i++ {
		residual := y[i] - mat.Dot(r.coefficients.RowView(i), phi)
		coefficients := r.coefficients.RawRowView(i)
		for j := range coefficients {
			coefficients[j] += gain.AtVec(j) * residual
		}
	}
	var update mat.Dense
	update.Outer(1, &gain, &pPhi)
	p.Sub(p, &update)
	if mat.Trace(p)/r.config.ForgettingFactor < r.config.MaxTrace {
		p.Scale(1/r.config.ForgettingFactor, p)
	}
}

// Decide returns the next input: the solution u of (B'B + q^2) u = B'(yref - A y) + q^2 u(k-1) for the target yref,
// clamped to [low, high]. Without a solution, the input does not change.
func (r *Regulator) Decide(target []float64, low, high float64) []float64 {
	outputs, inputs := len(r.output), len(r.input)
	b := r.coefficients.Slice(0, outputs, outputs, outputs+inputs)
	gap := mat.NewVecDense(outputs, nil) // yref - A y
	noInput := make([]float64, inputs)
	for i := range outputs {
		gap.SetVec(i, target[i]-r.PredictOutput(i, noInput))
	}
	var left mat.Dense
	var right, u mat.VecDense
	left.Mul(b.T(), b)
	right.MulVec(b.T(), gap)
	for j := range inputs {
		left.Set(j, j, left.At(j, j)+r.config.InputPenalty*r.config.InputPenalty)
		right.SetVec(j, right.AtVec(j)+r.config.InputPenalty*r.config.InputPenalty*r.input[j])
	}
	next := slices.Clone(r.input)
	if err := u.SolveVec(&left, &right); err == nil {
		for j := range inputs {
			if v := u.AtVec(j); !math.IsNaN(v) {
				next[j] = min(high, max(low, v))
			}
		}
	}
	r.input = next
	return slices.Clone(next)
}
