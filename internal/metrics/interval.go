package metrics

import (
	"cmp"
	"slices"
	"time"
)

// Series identifies one series of values.
type Series struct {
	ID         ID
	Name       string // in the metric's dimension; empty if the metric has none
	Other      bool   // the series counts all names that are not admitted
	LabelIndex int    // index of the label value in Descriptor.LabelValues
}

// compareSeries orders series by metric, then by name with Other last, then by label.
func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		compareBools(a.Other, b.Other),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.LabelIndex, b.LabelIndex),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Point is the total of a counter since the broker's start, or the value of a gauge at the interval's end.
type Point struct {
	Series
	Value float64
}

// Distribution is the distribution of the values observed in an interval.
type Distribution struct {
	Series
	Count         float64 // number of values
	EncodedSketch []byte  // decoded by Summarize
}

// Interval holds the metrics that a broker reports for a period of time. It is immutable, so that several destinations
// may share it. Points and distributions are sorted by series.
type Interval struct {
	Sequence      uint64        // from 1 at the broker's start; the last one if merged
	MergedCount   uint64        // number of original intervals: 1 unless merged
	EndTime       time.Duration // wall clock, since the Unix epoch
	Duration      time.Duration // measured by the monotonic clock
	Points        []Point
	Distributions []Distribution
}

// SampleCount returns the number of values in the interval's distributions.
func (v *Interval) SampleCount() float64 {
	total := 0.0
	for i := range v.Distributions {
		total += v.Distributions[i].Count
	}
	return total
}

// The memory of an interval, of a point, and of a distribution without its sketch, in bytes. Names are shared and not
// counted.
const (
	intervalMemoryBytes     = 96
	pointMemoryBytes        = 56
	distributionMemoryBytes = 80
)

// MemoryBytes returns the approximate memory use of the interval.
func (v *Interval) MemoryBytes() int {
	total := intervalMemoryBytes + pointMemoryBytes*len(v.Points) + distributionMemoryBytes*len(v.Distributions)
	for i := range v.Distributions {
		total += len(v.Distributions[i].EncodedSketch)
	}
	return total
}

// WithoutDistributions returns a copy of the interval that has counters and gauges only.
func (v *Interval) WithoutDistributions() *Interval {
	out := *v
	out.Distributions = nil
	return &out
}

// Value returns the value of a counter or gauge series, or 0 if the interval lacks it.
func (v *Interval) Value(series Series) float64 {
	compare := func(p Point, series Series) int { return compareSeries(p.Series, series) }
	i, found := slices.BinarySearchFunc(v.Points, series, compare)
	if !found {
		return 0
	}
	return v.Points[i].Value
}
