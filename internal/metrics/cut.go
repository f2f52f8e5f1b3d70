package metrics

import (
	"slices"
	"time"

	"wheatlane/internal/cardinality"
)

// EndInterval ends an interval at the times of the wall clock and of the monotonic clock, and returns its figures.
func (r *Registry) EndInterval(wall, monotonic time.Duration) *Interval {
	r.sequence++
	r.Set(Sequence, cardinality.Other, 0, float64(r.sequence))
	r.setNameCounts()
	r.setInTimeShares()
	interval := &Interval{
		Sequence:    r.sequence,
		MergedCount: 1,
		EndTime:     r.timestamp(wall),
		Duration:    monotonic - r.lastCut,
	}
	for i := range Catalogue {
		r.appendFigure(interval, ID(i))
	}
	slices.SortFunc(interval.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) })
	slices.SortFunc(interval.Distributions, func(a, b Distribution) int { return compareSeries(a.Series, b.Series) })
	r.startInterval(monotonic)
	return interval
}

// startInterval readies the registry for the next interval. The figures of the last one have been read.
func (r *Registry) startInterval(monotonic time.Duration) {
	copy(r.answersAtLastCut, r.values[RequestOutcomes])
	for i := range Catalogue {
		if figure := &Catalogue[i]; figure.Kind == Gauge && figure.Dimension != NoDimension || ID(i) == InboxLength {
			clear(r.gaugeSet[i])
		}
	}
	for _, table := range r.tables {
		table.EndInterval(monotonic)
	}
	r.lastCut = monotonic
}

// maxTimestampLead is how far timestamps may run ahead of the wall clock before they follow it back.
const maxTimestampLead = 5 * time.Second

// timestamp is the time that an interval is reported under, in whole seconds as Graphite keeps them. Two
// intervals within one second get two timestamps, as the later would replace the earlier; a clock that is set
// back is followed.
func (r *Registry) timestamp(wall time.Duration) time.Duration {
	at := wall.Truncate(time.Second)
	if lead := r.lastTimestamp - at; lead >= 0 && lead < maxTimestampLead {
		at = r.lastTimestamp + time.Second
	}
	r.lastTimestamp = at
	return at
}

func (r *Registry) setNameCounts() {
	for label, dim := range []Dimension{Class, Tenant, Engine, DataSet} { // the order of boundedDimensions
		counts := r.tables[dim].Counts()
		r.Set(ActiveNames, cardinality.Other, label, float64(counts.Active))
		r.Set(AdmittedNames, cardinality.Other, label, float64(counts.Admitted))
		r.Set(RetiredNames, cardinality.Other, label, float64(counts.Retired))
		r.Set(OtherNames, cardinality.Other, label, float64(counts.Other))
	}
}

// setInTimeShares sets the fraction of the interval's answers that came within the latency objective.
func (r *Registry) setInTimeShares() {
	for slot := range r.tables[Class].Slots() {
		answers := func(outcome int) float64 {
			i := RequestOutcomes.index(slot, outcome)
			return r.values[RequestOutcomes][i] - r.answersAtLastCut[i]
		}
		if owed := answers(InTime) + answers(Late) + answers(Rejected) + answers(Failed); owed > 0 {
			r.Set(InTimeShare, slot, 0, answers(InTime)/owed)
		}
	}
}

// appendFigure appends all series of a figure.
func (r *Registry) appendFigure(interval *Interval, id ID) {
	figure := &Catalogue[id]
	appendSeries := func(slot int, series Series) {
		if figure.Kind == DistributionKind {
			r.appendDistribution(interval, slot, series)
		} else {
			r.appendPoints(interval, slot, series)
		}
	}
	r.tables[figure.Dimension].EachName(func(slot int, name string) { appendSeries(slot, Series{ID: id, Name: name}) })
	appendSeries(cardinality.Other, Series{ID: id, Other: figure.Dimension != NoDimension})
}

// appendPoints appends the series of a counter or gauge that are to be reported, of one name.
func (r *Registry) appendPoints(interval *Interval, slot int, series Series) {
	for label := range series.ID.SeriesPerName() {
		if r.reported(series.ID, slot, label) {
			series.LabelIndex = label
			interval.Points = append(interval.Points, Point{series, r.Value(series.ID, slot, label)})
		}
	}
}

// reported reports whether a gauge was set, or a counter has counted. A counter of a single series is always
// reported. Of many series, each is reported once it has counted: collectors take a new series to begin at zero.
func (r *Registry) reported(id ID, slot, label int) bool {
	if set := r.gaugeSet[id]; set != nil {
		return set[id.index(slot, label)]
	}
	single := Catalogue[id].Dimension == NoDimension && id.SeriesPerName() == 1
	return single || r.Value(id, slot, label) != 0
}

// appendDistribution appends a distribution that has values, and empties it.
func (r *Registry) appendDistribution(interval *Interval, slot int, series Series) {
	sketch := r.sketches[series.ID][slot]
	if sketch == nil || sketch.Count() == 0 {
		return
	}
	r.encodeBuffer = sketch.Encode(r.encodeBuffer[:0])
	interval.Distributions = append(interval.Distributions, Distribution{
		Series:        series,
		Count:         sketch.Count(),
		EncodedSketch: slices.Clone(r.encodeBuffer),
	})
	sketch.Clear()
}
