package metrics

// Merge merges two consecutive intervals into one. Counters have their later value, or the earlier one if the later
// interval lacks the series because its name has retired, so that no count is lost. Gauges have their later value, and
// distributions are merged. Merge fails if a sketch can't be decoded.
func Merge(earlier, later *Interval) (*Interval, error) {
	distributions, err := mergeDistributions(earlier.Distributions, later.Distributions)
	if err != nil {
		return nil, err
	}
	return &Interval{
		Sequence:      later.Sequence,
		MergedCount:   earlier.MergedCount + later.MergedCount,
		EndTime:       later.EndTime,
		Duration:      earlier.Duration + later.Duration,
		Points:        mergePoints(earlier.Points, later.Points),
		Distributions: distributions,
	}, nil
}

func mergePoints(earlier, later []Point) []Point {
	out := make([]Point, 0, len(later))
	seriesOf := func(p *Point) Series { return p.Series }
	forEachSeriesPair(earlier, later, seriesOf, func(a, b *Point) {
		switch {
		case b == nil:
			if Catalogue[a.ID].Kind == Counter {
				out = append(out, *a)
			}
		case a != nil && b.ID == MergedIntervals:
			out = append(out, Point{b.Series, a.Value + b.Value})
		default:
			out = append(out, *b)
		}
	})
	return out
}

func mergeDistributions(earlier, later []Distribution) ([]Distribution, error) {
	var out []Distribution
	var firstErr error
	seriesOf := func(d *Distribution) Series { return d.Series }
	forEachSeriesPair(earlier, later, seriesOf, func(a, b *Distribution) {
		switch {
		case firstErr != nil:
		case b == nil:
			out = append(out, *a)
		case a == nil:
			out = append(out, *b)
		default:
			merged, err := mergeSketches(a.EncodedSketch, b.EncodedSketch)
			firstErr = err
			out = append(out, Distribution{Series: b.Series, Count: a.Count + b.Count, EncodedSketch: merged})
		}
	})
	if firstErr != nil {
		return nil, firstErr
	}
	return out, nil
}

// forEachSeriesPair calls f once for each series that is in either list, in the order of series, with the elements of
// both lists. The element is nil if a list lacks the series. Both lists must be sorted by series.
func forEachSeriesPair[T any](earlier, later []T, seriesOf func(*T) Series, f func(earlier, later *T)) {
	for len(earlier) > 0 || len(later) > 0 {
		var order int
		switch {
		case len(earlier) == 0:
			order = 1
		case len(later) == 0:
			order = -1
		default:
			order = compareSeries(seriesOf(&earlier[0]), seriesOf(&later[0]))
		}
		switch {
		case order < 0:
			f(&earlier[0], nil)
			earlier = earlier[1:]
		case order > 0:
			f(nil, &later[0])
			later = later[1:]
		default:
			f(&earlier[0], &later[0])
			earlier, later = earlier[1:], later[1:]
		}
	}
}
