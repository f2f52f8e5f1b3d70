package metrics

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// drawSketch adds random values to five sketches and returns the sorted values and the merged sketch.
func drawSketch(t *testing.T, draw func() float64) (values []float64, encoded []byte) {
	t.Helper()
	for range 5 {
		s := NewSketch()
		for range 4000 {
			v := draw()
			values = append(values, v)
			s.Add(v)
		}
		if encoded == nil {
			encoded = s.Encode(nil)
			continue
		}
		var err error
		if encoded, err = mergeSketches(encoded, s.Encode(nil)); err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(values)
	return values, encoded
}

// Quantiles of merged sketches are within the guaranteed relative accuracy, and minimum, maximum and count are exact.
func TestQuantileAccuracyOfMergedSketches(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, draw := range map[string]func() float64{
		"uniform":   func() float64 { return rng.Float64() * 1000 },
		"lognormal": func() float64 { return math.Exp(rng.NormFloat64()*1.5 + 3) },
		"pareto":    func() float64 { return math.Pow(1-rng.Float64(), -1/1.5) },
		"constant":  func() float64 { return 42 },
		"with zero": func() float64 { return max(0, rng.NormFloat64()) },
	} {
		t.Run(name, func(t *testing.T) {
			values, encoded := drawSketch(t, draw)
			s, err := Summarize(encoded)
			if err != nil {
				t.Fatal(err)
			}
			for _, q := range []struct{ quantile, got float64 }{{0.5, s.P50}, {0.95, s.P95}, {0.99, s.P99}} {
				want := values[int(q.quantile*float64(len(values)-1))]
				if math.Abs(q.got-want) > RelativeAccuracy*want+1e-9 {
					t.Errorf("quantile %v: got %v, want %v", q.quantile, q.got, want)
				}
			}
			if s.Max != values[len(values)-1] || s.Min != values[0] || s.Count != float64(len(values)) {
				t.Errorf("minimum, maximum or count is not exact: %+v", s)
			}
		})
	}
}

// Invalid durations, such as negative ones, must not corrupt a sketch.
func TestInvalidValuesCountAsZero(t *testing.T) {
	s := NewSketch()
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
		s.Add(v)
	}
	got, err := Summarize(s.Encode(nil))
	if err != nil || got.Count != 5 || got.Min != 0 || got.P50 != 0 {
		t.Fatalf("got %+v, error %v", got, err)
	}
}
