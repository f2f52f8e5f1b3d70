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

// Findings are the result of a reconciliation.
type Findings struct {
	Samples, Dropped   int
	Duplicated         int // samples that came twice
	Incomplete         int // timestamps without a start or a sequence number: parts of intervals
	Unknown, Malformed map[string]int
	Incarnations       []*Incarnation // by broker and start
	Violations         []string
}

// OK reports whether no rule was violated.
func (f *Findings) OK() bool {
	return len(f.Violations) == 0 && len(f.Unknown) == 0 && len(f.Malformed) == 0
}

func (f *Findings) violation(format string, args ...any) {
	if len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// intervalKey identifies an interval: brokers send all its figures with one timestamp.
type intervalKey struct {
	broker    string
	timestamp int64
}

// timestampGroup is what came with one timestamp of one broker.
type timestampGroup struct {
	intervalKey
	arrivedAfter  time.Duration
	values        map[metrics.Series]float64
	distributions map[metrics.Series]map[string]float64 // by statistic
}

// add takes a sample and reports whether it came before, with the same value.
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

// put sets a value and reports whether the same was there.
func put[K comparable](values map[K]float64, key K, value float64) (same bool) {
	old, there := values[key]
	values[key] = value
	return there && old == value
}

// Reconcile is Reconciler.Reconcile for recorded samples.
func Reconcile(samples []Sample, dropped int, unknown, malformed map[string]int) *Findings {
	f := &Findings{
		Samples: len(samples), Dropped: dropped, Unknown: maps.Clone(unknown), Malformed: maps.Clone(malformed),
	}
	f.Incarnations = f.runsOf(f.group(samples))
	for _, r := range f.Incarnations {
		r.check(f)
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

// runsOf returns the incarnations of brokers to which complete groups belong.
func (f *Findings) runsOf(groups map[intervalKey]*timestampGroup) []*Incarnation {
	type runKey struct {
		broker    string
		startedMS int64
	}
	runs := map[runKey]*Incarnation{}
	for _, g := range groups {
		interval, startedMS, ok := g.interval()
		if !ok {
			f.Incomplete++
			continue
		}
		key := runKey{g.broker, startedMS}
		if runs[key] == nil {
			runs[key] = &Incarnation{Broker: g.broker, StartedMS: startedMS}
		}
		runs[key].Intervals = append(runs[key].Intervals, interval)
	}
	return slices.SortedFunc(maps.Values(runs), func(a, b *Incarnation) int {
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.StartedMS, b.StartedMS))
	})
}

// interval returns the interval of a group and the start of its broker, or false if the group lacks what
// tells them.
func (g *timestampGroup) interval() (interval *Interval, startedMS int64, ok bool) {
	started, hasStart := g.values[metrics.Series{ID: metrics.StartTime}]
	sequence, hasSequence := g.values[metrics.Series{ID: metrics.Sequence}]
	folded, hasFolded := g.values[metrics.Series{ID: metrics.MergedIntervals}]
	if !hasStart || !hasSequence || !hasFolded {
		return nil, 0, false
	}
	interval = &Interval{
		Sequence: uint64(sequence), Timestamp: g.timestamp, Arrived: g.arrivedAfter, Represented: uint64(folded),
		Values: g.values, Distributions: g.distributions,
	}
	return interval, int64(math.Round(started * 1000)), true
}
