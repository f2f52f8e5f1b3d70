package metrics

import (
	"cmp"
	"slices"
	"time"
)

// Series names one line of figures.
type Series struct {
	Figure ID
	Name   string // by the figure's dimension; empty in one that has none
	Other  bool   // it stands for all names that are not admitted
	Part   int    // of the figure's details
}

func compareSeries(a, b Series) int {
	other := func(s Series) int {
		if s.Other {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Figure, b.Figure), cmp.Compare(other(a), other(b)), cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Part, b.Part))
}

// Point is the value of a counter since the start, or of a gauge at the interval's end.
type Point struct {
	Series
	Value float64
}

// Distribution is what was measured in the interval.
type Distribution struct {
	Series
	Count         float64
	EncodedSketch []byte // the sketch; see Summarize
}

// Interval is what a broker reports of a stretch of time. It is not changed once it is made, so several
// destinations may hold it. Points and distributions are in order of their series.
type Interval struct {
	Sequence      uint64        // from 1 at the broker's start; of a folded one, that of the last
	FoldedCount   uint64        // intervals that it is made of
	EndTime       time.Duration // its end, by the wall clock, Unix time
	Duration      time.Duration // its length, by a clock that is never set
	Points        []Point
	Distributions []Distribution
}

// SampleCount is how many values its distributions hold.
func (v *Interval) SampleCount() (n float64) {
	for _, d := range v.Distributions {
		n += d.Count
	}
	return n
}

// Memory of a point and of a distribution beside its sketch; names are shared.
const (
	pointMemoryBytes        = 56
	distributionMemoryBytes = 80
)

// MemoryBytes is the memory that it takes.
func (v *Interval) MemoryBytes() int {
	n := 96 + pointMemoryBytes*len(v.Points) + distributionMemoryBytes*len(v.Distributions)
	for _, d := range v.Distributions {
		n += len(d.EncodedSketch)
	}
	return n
}

// Fold makes one interval of an earlier and a later one. Of each counter it has the later value, and the earlier
// where the later interval lacks it as its name has left: a counter loses nothing. Gauges are the later ones, and
// distributions are merged.
func Fold(a, b *Interval) (*Interval, error) {
	out := &Interval{Sequence: b.Sequence, FoldedCount: a.FoldedCount + b.FoldedCount, EndTime: b.EndTime, Duration: a.Duration + b.Duration}
	out.Points = make([]Point, 0, len(b.Points))
	i, j := 0, 0
	for i < len(a.Points) || j < len(b.Points) {
		switch c := compareHeads(a.Points, b.Points, i, j, func(p Point) Series { return p.Series }); {
		case c < 0:
			if Catalogue[a.Points[i].Figure].Kind == Counter {
				out.Points = append(out.Points, a.Points[i])
			}
			i++
		case c > 0:
			out.Points = append(out.Points, b.Points[j])
			j++
		default:
			p := b.Points[j]
			if p.Figure == Folded {
				p.Value += a.Points[i].Value
			}
			out.Points = append(out.Points, p)
			i, j = i+1, j+1
		}
	}
	i, j = 0, 0
	for i < len(a.Distributions) || j < len(b.Distributions) {
		switch c := compareHeads(a.Distributions, b.Distributions, i, j, func(d Distribution) Series { return d.Series }); {
		case c < 0:
			out.Distributions = append(out.Distributions, a.Distributions[i])
			i++
		case c > 0:
			out.Distributions = append(out.Distributions, b.Distributions[j])
			j++
		default:
			data, err := mergeSketches(a.Distributions[i].EncodedSketch, b.Distributions[j].EncodedSketch)
			if err != nil {
				return nil, err
			}
			out.Distributions = append(out.Distributions, Distribution{Series: b.Distributions[j].Series,
				Count: a.Distributions[i].Count + b.Distributions[j].Count, EncodedSketch: data})
			i, j = i+1, j+1
		}
	}
	return out, nil
}

// compareHeads compares the heads of what is left of two lists; one that is used up comes last.
func compareHeads[T any](a, b []T, i, j int, of func(T) Series) int {
	switch {
	case i >= len(a):
		return 1
	case j >= len(b):
		return -1
	}
	return compareSeries(of(a[i]), of(b[j]))
}

// WithoutDistributions is the interval with its counters and gauges alone.
func (v *Interval) WithoutDistributions() *Interval {
	out := *v
	out.Distributions = nil
	return &out
}

// Value is that of a series, 0 if it is not there.
func (v *Interval) Value(s Series) float64 {
	i, found := slices.BinarySearchFunc(v.Points, s, func(p Point, s Series) int { return compareSeries(p.Series, s) })
	if !found {
		return 0
	}
	return v.Points[i].Value
}
