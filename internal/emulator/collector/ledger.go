// Package collector plays the systems that figures are sent to: a carbon server and a collectd with the network
// plugin, written from their published formats. They keep what they get in a Ledger, which holds it against the rules
// that the catalogue of figures states, and they fail on demand as real ones do.
package collector

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// Sample is one value as a collector got it.
type Sample struct {
	Arrived time.Duration // since the collector's start
	Name    graphite.Name
	Value   float64
	At      int64 // seconds of Unix time, as the broker says
}

// Reconciler keeps samples. It may be used from several goroutines.
type Reconciler struct {
	mu        sync.Mutex
	startedAt time.Time
	samples   []Sample
	dropped   int
	unknown   map[string]int // names that the catalogue lacks
	malformed map[string]int // what could not be read
	onSample  func(Sample)
	changed   chan struct{}
}

const (
	maxSamples    = 2 << 20 // older ones are let go of, and counted
	maxViolations = 100     // texts of faults kept
)

// NewReconciler returns an empty one. onSample, if there is one, is given each sample as it comes.
func NewReconciler(onSample func(Sample)) *Reconciler {
	return &Reconciler{
		startedAt: time.Now(), unknown: map[string]int{}, malformed: map[string]int{}, onSample: onSample,
		changed: make(chan struct{}),
	}
}

// Take keeps a sample.
func (l *Reconciler) Take(n graphite.Name, value float64, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sample{Arrived: time.Since(l.startedAt), Name: n, Value: value, At: at}
	if len(l.samples) >= maxSamples {
		l.dropped += len(l.samples) / 2
		l.samples = append(l.samples[:0:0], l.samples[len(l.samples)/2:]...)
	}
	l.samples = append(l.samples, s)
	if l.onSample != nil {
		l.onSample(s)
	}
	l.notifyWaiters()
}

// notifyWaiters lets those go on that wait for something new.
func (l *Reconciler) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed is closed when something new comes.
func (l *Reconciler) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func count(in map[string]int, text string) {
	if _, known := in[text]; known || len(in) < maxViolations {
		in[text]++
	}
}

// Unknown counts a name that is not in the catalogue.
func (l *Reconciler) Unknown(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count(l.unknown, text)
	l.notifyWaiters()
}

// Broken counts what could not be read.
func (l *Reconciler) Broken(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count(l.malformed, why)
	l.notifyWaiters()
}

// Empty forgets all samples, as a collector that restarts without its disk.
func (l *Reconciler) Empty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = nil
}

// Run is one life of a broker, from its start to its end or the next start.
type Run struct {
	Broker  string
	Started int64 // milliseconds of Unix time
	// Intervals are those that came whole, by their numbers. One that waited may stand for several.
	Intervals []*Interval
	Last      uint64 // the highest number
	Of        uint64 // intervals that those which came stand for
	Series    int
}

// Missing is how many intervals the numbers tell of that nothing stands for.
func (r *Run) Missing() int64 { return int64(r.Last) - int64(r.Of) }

// Interval is what came of one.
type Interval struct {
	Number  uint64
	At      int64
	Arrived time.Duration // of its first sample
	Of      uint64
	Values  map[metrics.Series]float64            // counters and gauges
	Spreads map[metrics.Series]map[string]float64 // distributions, by what is told of them
}

// Total is a counter of the run summed over its names and parts: the last value of each of its series.
func (r *Run) Total(id metrics.ID) (sum float64) {
	for _, v := range r.Totals(id) {
		sum += v
	}
	return sum
}

// Totals are the last values of a counter's series.
func (r *Run) Totals(id metrics.ID) map[metrics.Series]float64 {
	last := map[metrics.Series]float64{}
	for _, v := range r.Intervals {
		for s, x := range v.Values {
			if s.Figure == id {
				last[s] = x
			}
		}
	}
	return last
}

// Findings are what a ledger says of all that came.
type Findings struct {
	Samples, Dropped   int
	Duplicated         int // samples that came twice
	Incomplete         int // stamps without a start or a number: their intervals did not come whole
	Unknown, Malformed map[string]int
	Runs               []*Run // by broker and start
	Faults             []string
}

// OK tells whether no rule was broken.
func (f *Findings) OK() bool {
	return len(f.Faults) == 0 && len(f.Unknown) == 0 && len(f.Malformed) == 0
}

// timestampGroup holds what came under one time of one broker.
type timestampGroup struct {
	broker        string
	timestamp     int64
	arrivedAfter  time.Duration
	values        map[metrics.Series]float64
	distributions map[metrics.Series]map[string]float64
}

// Reconcile holds all that came against the rules: each interval tells its number and the broker's start; counters never
// fall within a run; the numbers rise with the stamps' order of arrival or stand for what was folded.
func (l *Reconciler) Reconcile() *Findings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Reconcile(l.samples, l.dropped, l.unknown, l.malformed)
}

// Reconcile is Ledger.Judge for samples that were recorded.
func Reconcile(samples []Sample, dropped int, unknown, broken map[string]int) *Findings {
	f := &Findings{Samples: len(samples), Dropped: dropped, Unknown: maps.Clone(unknown), Malformed: maps.Clone(broken)}
	fault := func(format string, args ...any) {
		if len(f.Faults) < maxViolations {
			f.Faults = append(f.Faults, fmt.Sprintf(format, args...))
		}
	}
	type key struct {
		broker string
		at     int64
	}
	stamps := map[key]*timestampGroup{}
	for _, s := range samples {
		k := key{s.Name.Broker, s.At}
		st := stamps[k]
		if st == nil {
			st = &timestampGroup{
				broker: k.broker, timestamp: k.at, arrivedAfter: s.Arrived, values: map[metrics.Series]float64{},
				distributions: map[metrics.Series]map[string]float64{},
			}
			stamps[k] = st
		}
		if metrics.Catalogue[s.Name.Series.Figure].Kind != metrics.DistributionKind {
			if old, there := st.values[s.Name.Series]; there && old == s.Value {
				f.Duplicated++
			}
			st.values[s.Name.Series] = s.Value
			continue
		}
		if st.distributions[s.Name.Series] == nil {
			st.distributions[s.Name.Series] = map[string]float64{}
		}
		if old, there := st.distributions[s.Name.Series][s.Name.Stat]; there && old == s.Value {
			f.Duplicated++
		}
		st.distributions[s.Name.Series][s.Name.Stat] = s.Value
	}
	type life struct {
		broker  string
		started int64
	}
	runs := map[life]*Run{}
	for _, st := range stamps {
		started, a := st.values[metrics.Series{Figure: metrics.Started}]
		number, b := st.values[metrics.Series{Figure: metrics.Sequence}]
		of, c := st.values[metrics.Series{Figure: metrics.Folded}]
		if !a || !b || !c {
			f.Incomplete++
			continue
		}
		k := life{st.broker, int64(math.Round(started * 1000))}
		if runs[k] == nil {
			runs[k] = &Run{Broker: k.broker, Started: k.started}
		}
		runs[k].Intervals = append(runs[k].Intervals, &Interval{
			Number: uint64(number), At: st.timestamp, Arrived: st.arrivedAfter, Of: uint64(of),
			Values: st.values, Spreads: st.distributions,
		})
	}
	f.Runs = slices.SortedFunc(maps.Values(runs), func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.Broker, b.Broker), cmp.Compare(a.Started, b.Started))
	})
	for _, r := range f.Runs {
		r.check(fault)
	}
	return f
}

// check orders a run's intervals and holds them against the rules.
func (r *Run) check(fault func(string, ...any)) {
	slices.SortFunc(r.Intervals, func(a, b *Interval) int { return cmp.Compare(a.Number, b.Number) })
	last := map[metrics.Series]float64{}
	for i, v := range r.Intervals {
		if i > 0 && v.Number == r.Intervals[i-1].Number {
			fault("%s, start %d: interval %d came under the times %d and %d", r.Broker, r.Started, v.Number, r.Intervals[i-1].At, v.At)
		}
		r.Last = max(r.Last, v.Number)
		r.Of += v.Of
		for s, x := range v.Values {
			if metrics.Catalogue[s.Figure].Kind != metrics.Counter {
				continue
			}
			if was, there := last[s]; there && x < was {
				fault("%s, start %d: %s of %q fell from %v to %v at interval %d", r.Broker, r.Started,
					metrics.Catalogue[s.Figure].Name, s.Name, was, x, v.Number)
			}
			last[s] = x
		}
		for s, told := range v.Spreads {
			if len(told) == len(metrics.Stats) && !(told["min"] <= told["p50"] && told["p50"] <= told["p95"] &&
				told["p95"] <= told["p99"]*(1+2*metrics.Accuracy) && told["p99"] <= told["max"]*(1+2*metrics.Accuracy)) {
				fault("%s, start %d: the quantiles of %s of %q are out of order: %v", r.Broker, r.Started,
					metrics.Catalogue[s.Figure].Name, s.Name, told)
			}
		}
	}
	if r.Of > r.Last {
		fault("%s, start %d: intervals that came stand for %d, more than the %d there were", r.Broker, r.Started, r.Of, r.Last)
	}
	r.Series = len(last)
}
