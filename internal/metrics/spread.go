package metrics

import (
	"fmt"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Accuracy is the relative error of a quantile at the most.
const Accuracy = 0.01

// maxBins bounds a sketch's memory; at this accuracy it spans nine decades, and what is below them joins the lowest.
const maxBins = 1024

var indexMapping = func() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil {
		panic(err) // the accuracy is a constant within its range
	}
	return m
}()

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

// Sketch is a distribution: a DDSketch (Masson, Rim, Lee 2019) with exact count, sum, least and most.
type Sketch struct {
	sketch *ddsketch.DDSketchWithExactSummaryStatistics
}

// NewSketch returns an empty one.
func NewSketch() *Sketch {
	return &Sketch{ddsketch.NewDDSketchWithExactSummaryStatistics(indexMapping, newStore)}
}

// Add takes a value; negative ones and those that are no numbers count as 0.
func (s *Sketch) Add(v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		v = 0
	}
	// The one error is of a value beyond what the mapping can index, some 1e300.
	_ = s.sketch.Add(min(v, 1e300))
}

// Count is the number of values.
func (s *Sketch) Count() float64 { return s.sketch.GetCount() }

// Clear forgets all values and keeps the memory.
func (s *Sketch) Clear() { s.sketch.Clear() }

// Encode appends the sketch to dst.
func (s *Sketch) Encode(dst []byte) []byte {
	s.sketch.Encode(&dst, true)
	return dst
}

// Summary is what is told of a distribution.
type Summary struct {
	Count, Sum, Min, Max float64
	P50, P95, P99        float64
}

// Summarize reads an encoded sketch.
func Summarize(data []byte) (Summary, error) {
	d, err := ddsketch.DecodeDDSketchWithExactSummaryStatistics(data, newStore, indexMapping)
	if err != nil {
		return Summary{}, fmt.Errorf("sketch: %w", err)
	}
	if d.IsEmpty() {
		return Summary{}, nil
	}
	var s Summary
	s.Count, s.Sum = d.GetCount(), d.GetSum()
	if s.Min, err = d.GetMinValue(); err != nil {
		return s, fmt.Errorf("sketch: %w", err)
	}
	if s.Max, err = d.GetMaxValue(); err != nil {
		return s, fmt.Errorf("sketch: %w", err)
	}
	qs, err := d.GetValuesAtQuantiles([]float64{0.5, 0.95, 0.99})
	if err != nil {
		return s, fmt.Errorf("sketch: %w", err)
	}
	s.P50, s.P95, s.P99 = qs[0], qs[1], qs[2]
	return s, nil
}

// mergeSketches is two encoded sketches in one.
func mergeSketches(a, b []byte) ([]byte, error) {
	d, err := ddsketch.DecodeDDSketchWithExactSummaryStatistics(a, newStore, indexMapping)
	if err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	if err := d.DecodeAndMergeWith(b); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	var out []byte
	d.Encode(&out, true)
	return out, nil
}

// Stats are the names of what a Summary tells, in the order of Values.
var Stats = []string{"count", "sum", "min", "p50", "p95", "p99", "max"}

// Values are the figures of a summary in the order of Stats.
func (s Summary) Values() [7]float64 {
	return [7]float64{s.Count, s.Sum, s.Min, s.P50, s.P95, s.P99, s.Max}
}
