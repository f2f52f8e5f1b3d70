package rls

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The regulator must fit the A and B of a known system y(k+1) = A y(k) + B u(k), and then control y to its target.
func TestRegulatorConvergesOnKnownSystem(t *testing.T) {
	regulator := New(Config{
		OutputsPerGroup: 1, Groups: 1, InputPenalty: 0.1, InitialGain: 0.5, InitialCovariance: 10,
		ForgettingFactor: 0.98, MaxTrace: 1e4,
	}, []float64{0.5})
	rng := rand.New(rand.NewPCG(1, 2))
	y := 0.0
	step := func(u float64) { y = 0.6*y + 0.8*u }
	regulator.Observe([]float64{y}, []bool{true})
	for range 60 {
		regulator.input = []float64{rng.Float64()}
		step(regulator.input[0])
		regulator.Observe([]float64{y}, []bool{true})
	}
	a, b := regulator.coefficients.At(0, 0), regulator.coefficients.At(0, 1)
	if math.Abs(a-0.6) > 0.01 || math.Abs(b-0.8) > 0.01 {
		t.Fatalf("fit A=%.3f B=%.3f, want 0.6 and 0.8", a, b)
	}
	for range 40 {
		step(regulator.Decide([]float64{1}, 0, 2)[0])
		regulator.Observe([]float64{y}, []bool{true})
	}
	if math.Abs(y-1) > 0.02 {
		t.Fatalf("y=%.3f, want 1", y)
	}
	// The closed form of Decide: u = (B r + q^2 u') / (B^2 + q^2) with r = target - A y.
	a, b = regulator.coefficients.At(0, 0), regulator.coefficients.At(0, 1)
	before := regulator.input[0]
	wanted := (b*(1.3-a*y) + 0.01*before) / (b*b + 0.01)
	if got := regulator.Decide([]float64{1.3}, 0, 9)[0]; math.Abs(got-wanted) > 1e-9 {
		t.Fatalf("u=%v, want %v", got, wanted)
	}
}

// Inputs and covariances must stay within their bounds, whatever the noise, also while a group is not observed: its
// covariance would otherwise grow without bound by forgetting.
func TestRegulatorStaysBoundedUnderNoiseAndMissingObservations(t *testing.T) {
	regulator := New(Config{
		OutputsPerGroup: 2, Groups: 2, InputPenalty: 0.5, InitialGain: 0.5, InitialCovariance: 10,
		ForgettingFactor: 0.98, MaxTrace: 1e4,
	}, []float64{0.5, 0.5})
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 5000 {
		y := []float64{rng.NormFloat64(), rng.NormFloat64(), 1, 1}
		if i%7 == 0 {
			regulator.Restart(y)
		} else {
			fit := regulator.coefficients.At(2, 2)
			regulator.Observe(y, []bool{true, i < 50}) // the second group is no longer observed
			if i > 50 && regulator.coefficients.At(2, 2) != fit {
				t.Fatal("a group without an observation was updated")
			}
		}
		for _, u := range regulator.Decide([]float64{1, 1, 1, 1}, 0.05, 1) {
			if math.IsNaN(u) || u < 0.05 || u > 1 {
				t.Fatalf("u=%v, want it in [0.05, 1]", u)
			}
		}
	}
	for _, p := range regulator.covariance {
		if tr := p.At(0, 0) + p.At(1, 1); math.IsNaN(tr) || tr > regulator.config.MaxTrace {
			t.Fatalf("first two variances sum to %v, want at most %v", tr, regulator.config.MaxTrace)
		}
	}
}
