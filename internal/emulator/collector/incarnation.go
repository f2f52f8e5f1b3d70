package collector

import (
	"cmp"
	"slices"
	"time"

	"wheatlane/internal/metrics"
)

// Incarnation is one life of a broker's process, from its start to its end or the next start.
type Incarnation struct {
	Broker    string
	StartedMS int64 // milliseconds of Unix time
	// Intervals are those that came completely, by their sequence numbers. One that waited may stand for
	// several.
	Intervals    []*Interval
	LastSequence uint64 // the highest sequence number
	Represented  uint64 // intervals for which those that came stand
	Series       int    // of counters
}

// Interval is what came of one interval.
type Interval struct {
	Sequence      uint64
	Timestamp     int64                                 // seconds of Unix time, as the broker says
	Arrived       time.Duration                         // since the collector's start, of its first sample
	Represented   uint64                                // intervals for which it stands
	Values        map[metrics.Series]float64            // counters and gauges
	Distributions map[metrics.Series]map[string]float64 // distributions, by statistic
}

// Missing returns how many intervals were numbered for which none that came stands.
func (r *Incarnation) Missing() int64 { return int64(r.LastSequence) - int64(r.Represented) }

// Total returns a counter of the incarnation summed over its names and parts: the last value of each of its series.
func (r *Incarnation) Total(id metrics.ID) (sum float64) {
	for _, v := range r.Totals(id) {
		sum += v
	}
	return sum
}

// Totals returns the last values of a counter's series.
func (r *Incarnation) Totals(id metrics.ID) map[metrics.Series]float64 {
	last := map[metrics.Series]float64{}
	for _, interval := range r.Intervals {
		for series, value := range interval.Values {
			if series.ID == id {
				last[series] = value
			}
		}
	}
	return last
}

// check orders the intervals and checks them against the rules.
func (r *Incarnation) check(f *Findings) {
	slices.SortFunc(r.Intervals, func(a, b *Interval) int { return cmp.Compare(a.Sequence, b.Sequence) })
	counters := map[metrics.Series]float64{}
	for i, interval := range r.Intervals {
		if i > 0 && interval.Sequence == r.Intervals[i-1].Sequence {
			f.violation("%s, start %d: interval %d came under the times %d and %d",
				r.Broker, r.StartedMS, interval.Sequence, r.Intervals[i-1].Timestamp, interval.Timestamp)
		}
		r.LastSequence = max(r.LastSequence, interval.Sequence)
		r.Represented += interval.Represented
		r.checkCounters(f, interval, counters)
		r.checkDistributions(f, interval)
	}
	if r.Represented > r.LastSequence {
		f.violation("%s, start %d: intervals that came stand for %d, more than the %d there were",
			r.Broker, r.StartedMS, r.Represented, r.LastSequence)
	}
	r.Series = len(counters)
}

// checkCounters checks that no counter falls, and updates their last values.
func (r *Incarnation) checkCounters(f *Findings, interval *Interval, last map[metrics.Series]float64) {
	for series, value := range interval.Values {
		figure := metrics.Catalogue[series.ID]
		if figure.Kind != metrics.Counter {
			continue
		}
		if before, known := last[series]; known && value < before {
			f.violation("%s, start %d: %s of %q fell from %v to %v at interval %d",
				r.Broker, r.StartedMS, figure.Name, series.Name, before, value, interval.Sequence)
		}
		last[series] = value
	}
}

// checkDistributions checks that the statistics of complete distributions are in order.
func (r *Incarnation) checkDistributions(f *Findings, interval *Interval) {
	for series, stats := range interval.Distributions {
		if len(stats) == len(metrics.StatNames) && !inOrder(stats) {
			f.violation("%s, start %d: the quantiles of %s of %q are out of order: %v",
				r.Broker, r.StartedMS, metrics.Catalogue[series.ID].Name, series.Name, stats)
		}
	}
}

// inOrder reports whether quantiles rise, as far as their accuracy tells.
func inOrder(stats map[string]float64) bool {
	const tolerance = 1 + 2*metrics.RelativeAccuracy
	return stats["min"] <= stats["p50"] && stats["p50"] <= stats["p95"] &&
		stats["p95"] <= stats["p99"]*tolerance && stats["p99"] <= stats["max"]*tolerance
}
