package metrics

// Merge makes one interval of an earlier and a later one. Of each counter it has the later value, and the
// earlier one where the later interval lacks it because its name has retired: a counter loses nothing. Gauges
// are the later ones, and distributions are merged. It fails if a sketch can't be decoded.
func Merge(earlier, later *Interval) (*Interval, error) {
	distributions, err := foldDistributions(earlier.Distributions, later.Distributions)
	if err != nil {
		return nil, err
	}
	return &Interval{
		Sequence:      later.Sequence,
		MergedCount:   earlier.MergedCount + later.MergedCount,
		EndTime:       later.EndTime,
		Duration:      earlier.Duration + later.Duration,
		Points:        foldPoints(earlier.Points, later.Points),
		Distributions: distributions,
	}, nil
}

func foldPoints(earlier, later []Point) []Point {
	out := make([]Point, 0, len(later))
	seriesOf := func(p *Point) Series { return p.Series }
	eachPair(earlier, later, seriesOf, func(a, b *Point) {
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

func foldDistributions(earlier, later []Distribution) ([]Distribution, error) {
	var out []Distribution
	var firstErr error
	seriesOf := func(d *Distribution) Series { return d.Series }
	eachPair(earlier, later, seriesOf, func(a, b *Distribution) {
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

// eachPair calls f with the elements of two lists that are of one series, in the order of series; nil stands
// for the one that a list lacks. Both lists are in that order.
func eachPair[T any](earlier, later []T, seriesOf func(*T) Series, f func(earlier, later *T)) {
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
