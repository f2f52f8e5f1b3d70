package collector

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"wheatlane/internal/metrics"
)

// Findings is the result of a reconciliation.
type Findings struct {
	Samples, Dropped   int
	Duplicated         int            // samples received twice with the same value
	Incomplete         int            // timestamps of a broker that lack its start, a sequence number or an interval count
	Unknown, Malformed map[string]int // counts by name and by parse error
	Incarnations       []*Incarnation // ordered by broker and start
	Violations         []string
}

// OK reports whether no rule was violated and everything received could be parsed.
func (f *Findings) OK() bool {
	return len(f.Violations) == 0 && len(f.Unknown) == 0 && len(f.Malformed) == 0
}

func (f *Findings) violation(format string, args ...any) {
	if len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// intervalKey identifies an interval: brokers send all its metrics with one timestamp.
type intervalKey struct {
	broker    string
	timestamp int64
}

// timestampGroup holds the samples of one broker with one timestamp.
type timestampGroup struct {
	intervalKey
	arrivedAfter  time.Duration
	values        map[metrics.Series]float64
	distributions map[metrics.Series]map[string]float64 // by statistic
}

// add stores a sample and reports whether it was received before, with the same value.
func (g *timestampGroup) add(s Sample) (duplicate bool) {
	series := s.Name.Series
	if metrics.Catalogue[series.ID].Kind != metrics.DistributionKind {
		return put(g.values, series, s.Value)
	}
	if g.distributions[series] == nil {
		g.distributions[series] = map[string]float64{}
	}
	return put(g.distributions[series], s.Name.Stat, s.Value)
}

// put sets the value of a key and reports whether the key already had this value.
func put[K comparable](values map[K]float64, key K, value float64) (unchanged bool) {
	previous, exists := values[key]
	values[key] = value
	return exists && previous == value
}

// Reconcile checks recorded samples against the rules that Reconciler.Reconcile describes.
func Reconcile(samples []Sample, dropped int, unknown, malformed map[string]int) *Findings {
	f := &Findings{
		Samples: len(samples), Dropped: dropped, Unknown: maps.Clone(unknown), Malformed: maps.Clone(malformed),
	}
	f.Incarnations = f.incarnationsOf(f.group(samples))
	for _, incarnation := range f.Incarnations {
		incarnation.check(f)
	}
	return f
}

// group groups samples by broker and timestamp.
func (f *Findings) group(samples []Sample) map[intervalKey]*timestampGroup {
	groups := map[intervalKey]*timestampGroup{}
	for _, s := range samples {
		key := intervalKey{s.Name.Broker, s.Timestamp}
		g := groups[key]
		if g == nil {
			g = &timestampGroup{
				intervalKey: key, arrivedAfter: s.ArrivedAfter,
				values: map[metrics.Series]float64{}, distributions: map[metrics.Series]map[string]float64{},
			}
			groups[key] = g
		}
		if g.add(s) {
			f.Duplicated++
		}
	}
	return groups
}

// incarnationsOf returns the brokers' incarnations, with the intervals of all groups that are complete.
func (f *Findings) incarnationsOf(groups map[intervalKey]*timestampGroup) []*Incarnation {
	type incarnationKey struct {
		broker    string
		startedMS int64
	}
	incarnations := map[incarnationKey]*Incarnation{}
	for _, g := range groups {
		interval, startedMS, ok := g.interval()
		if !ok {
			f.Incomplete++
			continue
		}
		key := incarnationKey{g.broker, startedMS}
		if incarnations[key] == nil {
			incarnations[key] = &Incarnation{Broker: g.broker, StartedMS: startedMS}
		}
		incarnations[key].Intervals = append(incarnations[key].Intervals, interval)
	}
	return slices.SortedFunc(maps.Values(incarnations), func(a, b *Incarnation) int {
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.StartedMS, b.StartedMS))
	})
}

// interval returns the interval of a group and the start of its broker; ok is false if the group lacks one of the
// metrics that identify an interval.
func (g *timestampGroup) interval() (interval *Interval, startedMS int64, ok bool) {
	started, hasStart := g.values[metrics.Series{ID: metrics.StartTime}]
	sequence, hasSequence := g.values[metrics.Series{ID: metrics.Sequence}]
	merged, hasMerged := g.values[metrics.Series{ID: metrics.MergedIntervals}]
	if !hasStart || !hasSequence || !hasMerged {
		return nil, 0, false
	}
	interval = &Interval{
		Sequence: uint64(sequence), Timestamp: g.timestamp, Arrived: g.arrivedAfter, Represented: uint64(merged),
		Values: g.values, Distributions: g.distributions,
	}
	return interval, int64(math.Round(started * 1000)), true
}
