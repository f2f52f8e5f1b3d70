package metrics

import (
	"fmt"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// RelativeAccuracy is the maximum relative error of a reported quantile.
const RelativeAccuracy = 0.01

const (
	// maxBins limits a sketch's memory. At this accuracy the bins span nine decades; lower values are counted in
	// the lowest bin.
	maxBins = 1024
	// maxValue is less than the largest value that the index mapping accepts.
	maxValue = 1e300
)

var indexMapping = func() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(RelativeAccuracy)
	if err != nil {
		panic(err) // cannot happen: the accuracy is a valid constant
	}
	return m
}()

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

// Sketch is a distribution: a DDSketch (Masson, Rim, Lee 2019) with exact count, sum, minimum and maximum.
type Sketch struct {
	sketch *ddsketch.DDSketchWithExactSummaryStatistics
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	return &Sketch{ddsketch.NewDDSketchWithExactSummaryStatistics(indexMapping, newStore)}
}

// Add adds a value. Negative values, infinities and NaN count as 0.
func (s *Sketch) Add(value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		value = 0
	}
	_ = s.sketch.Add(min(value, maxValue)) // fails only for values that the mapping can't index
}

// Count returns the number of values.
func (s *Sketch) Count() float64 { return s.sketch.GetCount() }

// Clear removes all values and keeps the allocated memory for reuse.
func (s *Sketch) Clear() { s.sketch.Clear() }

// Encode appends the encoded sketch to dst.
func (s *Sketch) Encode(dst []byte) []byte {
	s.sketch.Encode(&dst, true)
	return dst
}

// Summary holds the reported statistics of a distribution.
type Summary struct {
	Count, Sum, Min, Max float64
	P50, P95, P99        float64
}

// Summarize decodes a sketch and returns its statistics, which are all 0 if the sketch is empty.
func Summarize(encoded []byte) (Summary, error) {
	sketch, err := decodeSketch(encoded)
	if err != nil {
		return Summary{}, err
	}
	if sketch.IsEmpty() {
		return Summary{}, nil
	}
	summary := Summary{Count: sketch.GetCount(), Sum: sketch.GetSum()}
	if summary.Min, err = sketch.GetMinValue(); err != nil {
		return summary, fmt.Errorf("read minimum of sketch: %w", err)
	}
	if summary.Max, err = sketch.GetMaxValue(); err != nil {
		return summary, fmt.Errorf("read maximum of sketch: %w", err)
	}
	quantiles, err := sketch.GetValuesAtQuantiles([]float64{0.5, 0.95, 0.99})
	if err != nil {
		return summary, fmt.Errorf("read quantiles of sketch: %w", err)
	}
	summary.P50, summary.P95, summary.P99 = quantiles[0], quantiles[1], quantiles[2]
	return summary, nil
}

func decodeSketch(encoded []byte) (*ddsketch.DDSketchWithExactSummaryStatistics, error) {
	sketch, err := ddsketch.DecodeDDSketchWithExactSummaryStatistics(encoded, newStore, indexMapping)
	if err != nil {
		return nil, fmt.Errorf("decode sketch: %w", err)
	}
	return sketch, nil
}

// mergeSketches merges two encoded sketches into one.
func mergeSketches(a, b []byte) ([]byte, error) {
	sketch, err := decodeSketch(a)
	if err != nil {
		return nil, err
	}
	if err := sketch.DecodeAndMergeWith(b); err != nil {
		return nil, fmt.Errorf("merge sketches: %w", err)
	}
	var out []byte
	sketch.Encode(&out, true)
	return out, nil
}

// StatNames are the exported names of the statistics in a Summary, in the order of Summary.Values.
var StatNames = []string{"count", "sum", "min", "p50", "p95", "p99", "max"}

// Values returns the statistics in the order of StatNames.
func (s Summary) Values() [7]float64 {
	return [7]float64{s.Count, s.Sum, s.Min, s.P50, s.P95, s.P99, s.Max}
}
