package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
)

func near(t *testing.T, what string, got, wanted, within float64) {
	t.Helper()
	if math.Abs(got-wanted) > within || math.IsNaN(got) {
		t.Errorf("%s: got %v, want %v within %v", what, got, wanted, within)
	}
}

func TestEWMAStartsAsPlainMean(t *testing.T) {
	average, sum := 100.0, 0.0
	for i := range 10 {
		sum += float64(i)
		average = EWMA(average, float64(i), SampleWeight(0.05, float64(i+1)))
		near(t, "mean of the samples so far", average, sum/float64(i+1), 1e-12)
	}
	for range 200 {
		average = EWMA(average, 50, SampleWeight(0.05, 1000))
	}
	near(t, "average after many equal samples", average, 50, 0.01)
}

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []float64
		want   float64
	}{
		{"no values", nil, 0},
		{"one value", []float64{3}, 3},
		{"lower of an even number", []float64{4, 1, 3, 2}, 2},
		{"one large value has no effect", []float64{1, 1e9, 2}, 2},
	} {
		t.Run(c.name, func(t *testing.T) { near(t, "median", Median(c.values), c.want, 0) })
	}
}

func TestMeanVarianceEstimatesMeanAndQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := MeanVariance{Variance: 1}
	for range 20000 {
		s.Observe(0.4+0.5*rng.NormFloat64(), 0.002)
	}
	near(t, "mean", s.Mean, 0.4, 0.05)
	near(t, "variance", s.Variance, 0.25, 0.05)
	near(t, "value that 1 in 40 samples exceeds", s.UpperQuantile(0.025), 0.4+1.96*0.5, 0.1)
	near(t, "value that half of the samples exceed", s.UpperQuantile(0.5), s.Mean, 1e-9)
}

func TestLossRate(t *testing.T) {
	var l Loss
	near(t, "rate without answers", l.Rate(0.01, 20), 0.01, 1e-12)
	for range 80 {
		l.RecordAnswer()
	}
	for range 20 {
		l.RecordLoss(0.5)
	}
	near(t, "rate", l.Rate(0, 0), 0.1, 1e-12)
	near(t, "rate with a prior of equal weight", l.Rate(0.3, 100), 0.2, 1e-12)
	l.RevertLoss(5)
	near(t, "rate after half of the losses are reverted", l.Rate(0, 0), 0.05, 1e-12)
	l.RevertLoss(100)
	near(t, "lost answers after too many are reverted", l.Lost, 0, 0)
	l.RecordLoss(1)
	l.Decay(0.5)
	near(t, "outcomes after decay", l.Outcomes, 50.5, 1e-12)
	near(t, "lost answers after decay", l.Lost, 0.5, 1e-12)
}

func TestFloorTracksLowQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var f Floor
	near(t, "difference of the first sample", f.Observe(2, 0), -floorMinStep, 1e-12)
	under := 0
	for range 20000 {
		if f.Observe(rng.Float64(), 0) < 0 {
			under++
		}
	}
	near(t, "fraction of samples under the level", float64(under)/20000, 0.25, 0.05)
}

func TestHighRatioCoversQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	ratio, covered := HighRatio(1), 0
	for i := range 20000 {
		observed := 10 * rng.Float64()
		if i >= 1000 && observed <= 10*float64(ratio) {
			covered++
		}
		ratio.Observe(observed, 10)
	}
	near(t, "fraction covered", float64(covered)/19000, 0.8, 0.05)
}

func TestSelfWeightedMean(t *testing.T) {
	var s SelfWeightedMean
	if _, ok := s.Mean(); ok {
		t.Error("got a mean without values")
	}
	for range 6 {
		s.Add(0)
	}
	for range 4 {
		s.Add(2)
	}
	mean, ok := s.Mean()
	near(t, "mean", mean, 2, 1e-12)
	if !ok {
		t.Error("got no mean of values with a positive sum")
	}
	s.Add(4)
	mean, _ = s.Mean()
	near(t, "mean with one larger value", mean, (4*4+16)/12.0, 1e-12)
}
