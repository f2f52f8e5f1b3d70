package report

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

// maxLines is the maximum number of lines in a chart. Further lines have smaller values and would hide the others.
const maxLines = 8

// incarnationView is an incarnation with the time at which its charts start.
type incarnationView struct {
	*collector.Incarnation
	start int64 // Unix time in seconds
}

// seconds returns the position of an interval on the time axis, in seconds.
func (r incarnationView) seconds(v *collector.Interval) float64 {
	return float64(v.Timestamp - r.start)
}

// seriesTitle returns the title of a series in charts of its metric: its name and label value.
func seriesTitle(s metrics.Series) string {
	name := s.Name
	if s.Other {
		name = "all others"
	}
	if values := metrics.Catalogue[s.ID].LabelValues; len(values) > 0 {
		return strings.TrimSpace(name + " " + strings.ReplaceAll(values[s.LabelIndex], "_", " "))
	}
	return name
}

// lineSet holds the lines of a chart by series.
type lineSet map[metrics.Series]*Line

// line returns the line of a series, which it creates if necessary.
func (ls lineSet) line(s metrics.Series) *Line {
	if ls[s] == nil {
		ls[s] = &Line{Name: seriesTitle(s)}
	}
	return ls[s]
}

// largest returns the lines with points among the maxLines lines with the largest sums, in descending order of sums and
// then by title.
func (ls lineSet) largest() []Line {
	order := make([]metrics.Series, 0, len(ls))
	for s := range ls {
		order = append(order, s)
	}
	slices.SortFunc(order, func(a, b metrics.Series) int {
		return cmp.Or(cmp.Compare(sum(ls[b].Y), sum(ls[a].Y)), strings.Compare(seriesTitle(a), seriesTitle(b)))
	})
	var out []Line
	for _, s := range order[:min(len(order), maxLines)] {
		if len(ls[s].X) > 0 {
			out = append(out, *ls[s])
		}
	}
	return out
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// maxOf returns the largest value, or 0 if no value is greater.
func maxOf(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

// rates returns the lines of a counter's series as rates per second, for the series that include accepts; nil accepts
// all. The increase in a merged interval is distributed evenly over the intervals that it represents.
func (r incarnationView) rates(id metrics.ID, include func(metrics.Series) bool) []Line {
	lines := lineSet{}
	last := map[metrics.Series]float64{}
	for i, v := range r.Intervals {
		span := r.span(i)
		for s, x := range v.Values {
			if s.ID != id || include != nil && !include(s) {
				continue
			}
			l := lines.line(s)
			if span > 0 {
				l.add(r.seconds(v), (x-last[s])/span)
			}
			last[s] = x
		}
	}
	return lines.largest()
}

// span returns the length of interval i in seconds, 0 if it is unknown. The first interval of a broker counts as long
// as the second.
func (r incarnationView) span(i int) float64 {
	v := r.Intervals[i]
	switch {
	case i > 0:
		return math.Abs(float64(v.Timestamp - r.Intervals[i-1].Timestamp))
	case len(r.Intervals) > 1 && v.Sequence == 1:
		return math.Abs(float64(r.Intervals[1].Timestamp - v.Timestamp))
	}
	return 0
}

// values returns the lines of a gauge's series.
func (r incarnationView) values(id metrics.ID) []Line {
	lines := lineSet{}
	for _, v := range r.Intervals {
		for s, x := range v.Values {
			if s.ID == id {
				lines.line(s).add(r.seconds(v), x)
			}
		}
	}
	return lines.largest()
}

// quantiles returns the lines of a distribution by series, one line for each of stats.
func (r incarnationView) quantiles(id metrics.ID, stats ...string) map[metrics.Series][]Line {
	out := map[metrics.Series][]Line{}
	for _, v := range r.Intervals {
		for s, reported := range v.Distributions {
			if s.ID != id {
				continue
			}
			if out[s] == nil {
				out[s] = make([]Line, len(stats))
			}
			for i, stat := range stats {
				out[s][i].Name = stat
				if x, ok := reported[stat]; ok {
					out[s][i].add(r.seconds(v), x)
				}
			}
		}
	}
	return out
}
