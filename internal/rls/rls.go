// Package rls fits y(k+1) = A y(k) + B u(k) by recursive least squares with forgetting and solves for the
// input that minimises J = |y(k+1) - yref|^2 + |q (u(k) - u(k-1))|^2 ("Proteus", Karlsson and Karamanolis,
// Middleware 2006, sections 3.1 and 3.2). It holds the linear algebra only: every value comes in.
package rls

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Config holds the values of a regulator.
type Config struct {
	OutputsPerGroup   int     // outputs of one group; a group that was not seen keeps its fit
	Groups            int     // groups of outputs
	InputPenalty      float64 // q: price of moving the input
	InitialGain       float64 // first value on the diagonals of A and B
	InitialCovariance float64 // first variance of each coefficient
	ForgettingFactor  float64
	MaxTrace          float64 // covariance is not let grow over this
}

// Regulator is one fit with its last output Y and input U.
type Regulator struct {
	Config
	Y, U  []float64
	Theta *mat.Dense // [A B]
	cov   []*mat.Dense
	ready bool
}

// New returns a regulator that starts at the input u.
func New(cfg Config, u []float64) *Regulator {
	n, m := cfg.OutputsPerGroup*cfg.Groups, len(u)
	r := &Regulator{Config: cfg, Theta: mat.NewDense(n, n+m, nil), Y: make([]float64, n), U: slices.Clone(u)}
	for i := range n {
		r.Theta.Set(i, i, cfg.InitialGain)
		r.Theta.Set(i, n+i/cfg.OutputsPerGroup, cfg.InitialGain)
	}
	for range cfg.Groups {
		p := mat.NewDense(n+m, n+m, nil)
		for i := range n + m {
			p.Set(i, i, cfg.InitialCovariance)
		}
		r.cov = append(r.cov, p)
	}
	return r
}

// Row predicts output i at the input u.
func (r *Regulator) Row(i int, u []float64) float64 {
	sum := 0.0
	for j, v := range r.Y {
		sum += r.Theta.At(i, j) * v
	}
	for j, v := range u {
		sum += r.Theta.At(i, len(r.Y)+j) * v
	}
	return sum
}

// Predict gives all outputs at the input u.
func (r *Regulator) Predict(u []float64) []float64 {
	out := make([]float64, len(r.Y))
	for i := range out {
		out[i] = r.Row(i, u)
	}
	return out
}

// Skip breaks the sequence of intervals; y, if any, is where it starts again.
func (r *Regulator) Skip(y []float64) {
	r.ready = y != nil
	if y != nil {
		r.Y = y
	}
}

// Observe takes the measurements of one interval; groups not seen keep their fit.
func (r *Regulator) Observe(y []float64, seen []bool) {
	if r.ready {
		phi := mat.NewVecDense(len(r.Y)+len(r.U), append(slices.Clone(r.Y), r.U...))
		for g, p := range r.cov {
			if !seen[g] {
				continue
			}
			var pp, gain mat.VecDense
			pp.MulVec(p, phi)
			den := r.ForgettingFactor + mat.Dot(phi, &pp)
			gain.ScaleVec(1/den, &pp)
			for i := g * r.OutputsPerGroup; i < (g+1)*r.OutputsPerGroup; i++ {
				row := r.Theta.RowView(i)
				err := y[i] - mat.Dot(row, phi)
				for j := range phi.Len() {
					r.Theta.Set(i, j, row.AtVec(j)+gain.AtVec(j)*err)
				}
			}
			var out mat.Dense
			out.Outer(1, &gain, &pp)
			p.Sub(p, &out)
			if mat.Trace(p)/r.ForgettingFactor < r.MaxTrace {
				p.Scale(1/r.ForgettingFactor, p)
			}
		}
	}
	r.Y, r.ready = y, true
}

// Decide solves (B'B + Q'Q) u = B'(yref - A y) + Q'Q u(k-1) and clamps u.
func (r *Regulator) Decide(want []float64, low, high float64) []float64 {
	n, m := len(r.Y), len(r.U)
	b := r.Theta.Slice(0, n, n, n+m)
	gap := mat.NewVecDense(n, nil)
	zero := make([]float64, m)
	for i := range n {
		gap.SetVec(i, want[i]-r.Row(i, zero))
	}
	var left mat.Dense
	var right, u mat.VecDense
	left.Mul(b.T(), b)
	right.MulVec(b.T(), gap)
	for j := range m {
		left.Set(j, j, left.At(j, j)+r.InputPenalty*r.InputPenalty)
		right.SetVec(j, right.AtVec(j)+r.InputPenalty*r.InputPenalty*r.U[j])
	}
	next := slices.Clone(r.U)
	if err := u.SolveVec(&left, &right); err == nil {
		for j := range m {
			if v := u.AtVec(j); !math.IsNaN(v) {
				next[j] = min(high, max(low, v))
			}
		}
	}
	r.U = next
	return slices.Clone(next)
}
