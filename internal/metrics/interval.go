package metrics

import (
	"cmp"
	"slices"
	"time"
)

// Series names one series of values.
type Series struct {
	ID         ID
	Name       string // by the figure's dimension; empty in one that has none
	Other      bool   // it stands for all names that are not admitted
	LabelIndex int    // of the value of the figure's label, in LabelValues
}

// compareSeries orders series by figure, then by name with all others last, then by label.
func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.ID, b.ID),
		compareBool(a.Other, b.Other),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.LabelIndex, b.LabelIndex),
	)
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Point is the value of a counter since the start, or of a gauge at the interval's end.
type Point struct {
	Series
	Value float64
}

// Distribution is the distribution of the values that were observed in an interval.
type Distribution struct {
	Series
	Count         float64 // of values
	EncodedSketch []byte  // see Summarize
}

// Interval is what a broker reports of a stretch of time. It is not changed once it is made, so that several
// destinations may hold it. Points and distributions are in the order of their series.
type Interval struct {
	Sequence      uint64        // from 1 at the broker's start; of a folded one, that of the last
	MergedCount   uint64        // intervals that it is made of: 1, or more if it is folded
	EndTime       time.Duration // by the wall clock, since 1970
	Duration      time.Duration // by a monotonic clock
	Points        []Point
	Distributions []Distribution
}

// SampleCount is how many values its distributions hold.
func (v *Interval) SampleCount() float64 {
	total := 0.0
	for i := range v.Distributions {
		total += v.Distributions[i].Count
	}
	return total
}

// The memory of an interval, of a point, and of a distribution beside its sketch, in bytes; names are shared.
const (
	intervalMemoryBytes     = 96
	pointMemoryBytes        = 56
	distributionMemoryBytes = 80
)

// MemoryBytes is the memory that the interval takes.
func (v *Interval) MemoryBytes() int {
	total := intervalMemoryBytes + pointMemoryBytes*len(v.Points) + distributionMemoryBytes*len(v.Distributions)
	for i := range v.Distributions {
		total += len(v.Distributions[i].EncodedSketch)
	}
	return total
}

// WithoutDistributions is the interval with its counters and gauges alone.
func (v *Interval) WithoutDistributions() *Interval {
	out := *v
	out.Distributions = nil
	return &out
}

// Value is that of a counter's or gauge's series, 0 if it is not there.
func (v *Interval) Value(series Series) float64 {
	compare := func(p Point, series Series) int { return compareSeries(p.Series, series) }
	i, found := slices.BinarySearchFunc(v.Points, series, compare)
	if !found {
		return 0
	}
	return v.Points[i].Value
}
