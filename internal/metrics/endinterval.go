package metrics

import (
	"slices"
	"time"

	"wheatlane/internal/cardinality"
)

// EndInterval ends the current interval at the given times of the wall clock and the monotonic clock, and returns its
// metrics. The next interval starts at the same time.
func (r *Registry) EndInterval(wall, monotonic time.Duration) *Interval {
	r.sequence++
	r.Set(Sequence, cardinality.Other, 0, float64(r.sequence))
	r.setNameCounts()
	r.setInTimeShares()
	interval := &Interval{
		Sequence:    r.sequence,
		MergedCount: 1,
		EndTime:     r.timestamp(wall),
		Duration:    monotonic - r.intervalStart,
	}
	for i := range Catalogue {
		r.appendMetric(interval, ID(i))
	}
	slices.SortFunc(interval.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) })
	slices.SortFunc(interval.Distributions, func(a, b Distribution) int { return compareSeries(a.Series, b.Series) })
	r.startInterval(monotonic)
	return interval
}

// startInterval resets the per-interval state. The metrics of the previous interval must have been read.
func (r *Registry) startInterval(monotonic time.Duration) {
	copy(r.outcomesAtIntervalStart, r.values[RequestOutcomes])
	for i := range Catalogue {
		if metric := &Catalogue[i]; metric.Kind == Gauge && metric.Dimension != NoDimension || ID(i) == InboxLength {
			clear(r.gaugeSet[i])
		}
	}
	for _, table := range r.tables {
		table.EndInterval(monotonic)
	}
	r.intervalStart = monotonic
}

// maxTimestampLead is the maximum lead of timestamps over the wall clock. If a step back of the clock would make the
// lead larger, timestamps follow the clock back.
const maxTimestampLead = 5 * time.Second

// timestamp returns the time that an interval is reported under, in whole seconds, which is Graphite's resolution. Two
// intervals that end within one second get different timestamps: with the same timestamp, the later would replace the
// earlier. Timestamps follow a clock that is set back.
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

// setInTimeShares sets, for each class, the fraction of the requests ended in the interval that were served within the
// latency objective. Requests whose client disconnected are excluded.
func (r *Registry) setInTimeShares() {
	for slot := range r.tables[Class].Slots() {
		endedWith := func(outcome int) float64 {
			i := RequestOutcomes.index(slot, outcome)
			return r.values[RequestOutcomes][i] - r.outcomesAtIntervalStart[i]
		}
		if total := endedWith(InTime) + endedWith(Late) + endedWith(Rejected) + endedWith(Failed); total > 0 {
			r.Set(InTimeShare, slot, 0, endedWith(InTime)/total)
		}
	}
}

// appendMetric appends all series of a metric.
func (r *Registry) appendMetric(interval *Interval, id ID) {
	metric := &Catalogue[id]
	appendSeries := func(slot int, series Series) {
		if metric.Kind == DistributionKind {
			r.appendDistribution(interval, slot, series)
		} else {
			r.appendPoints(interval, slot, series)
		}
	}
	r.tables[metric.Dimension].EachName(func(slot int, name string) { appendSeries(slot, Series{ID: id, Name: name}) })
	appendSeries(cardinality.Other, Series{ID: id, Other: metric.Dimension != NoDimension})
}

// appendPoints appends the series of a counter or gauge that are reported for one name.
func (r *Registry) appendPoints(interval *Interval, slot int, series Series) {
	for label := range series.ID.SeriesPerName() {
		if r.reported(series.ID, slot, label) {
			series.LabelIndex = label
			interval.Points = append(interval.Points, Point{series, r.Value(series.ID, slot, label)})
		}
	}
}

// reported reports whether a series belongs in an interval: a gauge if it was set, a counter if it is not zero. A
// counter with a single series is always reported. Collectors assume that a new series starts at zero, so the series of
// other counters are omitted until they have counted.
func (r *Registry) reported(id ID, slot, label int) bool {
	if set := r.gaugeSet[id]; set != nil {
		return set[id.index(slot, label)]
	}
	single := Catalogue[id].Dimension == NoDimension && id.SeriesPerName() == 1
	return single || r.Value(id, slot, label) != 0
}

// appendDistribution appends a distribution unless it is empty, and clears it.
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
