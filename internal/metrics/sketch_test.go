package metrics

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// drawSketch draws values into five sketches, merges those, and returns the values in order as well.
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

// The guarantee of the sketch, also of sketches that were merged: a quantile is off by a hundredth at most.
func TestQuantileAccuracy(t *testing.T) {
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
					t.Errorf("quantile %v is %v, reported %v", q.quantile, want, q.got)
				}
			}
			if s.Max != values[len(values)-1] || s.Min != values[0] || s.Count != float64(len(values)) {
				t.Errorf("%+v", s)
			}
		})
	}
}

// Values that no clock should give must not spoil a sketch.
func TestInvalidValuesCountAsZero(t *testing.T) {
	s := NewSketch()
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64} {
		s.Add(v)
	}
	got, err := Summarize(s.Encode(nil))
	if err != nil || got.Count != 5 || got.Min != 0 || got.P50 != 0 {
		t.Fatalf("%+v, %v", got, err)
	}
}
