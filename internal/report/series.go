package report

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

// maxLines are in one chart; the others are smaller and would hide these.
const maxLines = 8

// runView is a run with the time that its charts start at.
type runView struct {
	*collector.Incarnation
	start int64 // seconds of Unix time
}

// seconds is the time of an interval in the charts.
func (r runView) seconds(v *collector.Interval) float64 { return float64(v.Timestamp - r.start) }

// seriesTitle names a series beside its figure.
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

// lineSet collects lines by series.
type lineSet map[metrics.Series]*Line

// line is that of a series; it is made when it is first asked for.
func (ls lineSet) line(s metrics.Series) *Line {
	if ls[s] == nil {
		ls[s] = &Line{Name: seriesTitle(s)}
	}
	return ls[s]
}

// largest are the lines with the largest sums that have points, at most maxLines; equal ones by their names.
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

// maxOf is the largest value, 0 if there is none above.
func maxOf(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

// rates are the lines of a counter's series, in counts a second; keep chooses among them, nil keeps all. What
// a folded interval reports is spread over all that it represents.
func (r runView) rates(id metrics.ID, keep func(metrics.Series) bool) []Line {
	lines := lineSet{}
	last := map[metrics.Series]float64{}
	for i, v := range r.Intervals {
		span := r.span(i)
		for s, x := range v.Values {
			if s.ID != id || keep != nil && !keep(s) {
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

// span is the length of interval i in seconds, 0 if it is not known. The first is taken to be as long as the
// next.
func (r runView) span(i int) float64 {
	v := r.Intervals[i]
	switch {
	case i > 0:
		return math.Abs(float64(v.Timestamp - r.Intervals[i-1].Timestamp))
	case len(r.Intervals) > 1 && v.Sequence == 1:
		return math.Abs(float64(r.Intervals[1].Timestamp - v.Timestamp))
	}
	return 0
}

// values are the lines of a gauge's series.
func (r runView) values(id metrics.ID) []Line {
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

// quantiles are the lines of a distribution by series, one for each stat.
func (r runView) quantiles(id metrics.ID, stats ...string) map[metrics.Series][]Line {
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
