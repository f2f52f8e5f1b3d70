package metrics

import (
	"slices"
	"time"

	"wheatlane/internal/cardinality"
)

// Limits bound what a registry keeps.
type Limits struct {
	Classes, Tenants, Engines, DataSets int           // names that have series of their own, at a time
	Idle                                time.Duration // a name unheard of for so long leaves
}

const (
	// retiredSlotRetention is how long the counts of a name that has left are kept, so that it goes on where it was if it comes
	// back. A collector may take a series that was silent for longer as one that begins at zero.
	retiredSlotRetention = 2 * time.Hour
	// retiredSlotsPerName is how many such names there are room for, over those admitted.
	retiredSlotsPerName = 2
	// maxDestinations have figures of their own.
	maxDestinations = 8
)

// Registry records figures. It is not safe for concurrent use.
type Registry struct {
	lastCut          time.Duration // of the last cut; names are judged idle by it
	cutAt            time.Duration
	sequence         uint64
	lastTimestamp    time.Duration
	tables           [dimensionCount]*cardinality.Table
	values           [figureCount][]float64 // counters and gauges, by slot and part
	gaugeSet         [figureCount][]bool    // gauges that were set in this interval
	answersAtLastCut []float64              // answers by class and outcome at the last cut
	sketches         [figureCount][]*Sketch // by slot
	encodeBuffer     []byte
}

// NewRegistry returns an empty one that starts at a time by the wall clock and by one that is never set.
func NewRegistry(l Limits, wall, mono time.Duration) *Registry {
	r := &Registry{lastCut: mono, cutAt: mono}
	for dim, most := range map[Dimension]int{NoDimension: 0, Class: l.Classes, Tenant: l.Tenants, Engine: l.Engines, DataSet: l.DataSets,
		Destination: maxDestinations} {
		r.tables[dim] = cardinality.New(cardinality.Config{Most: most, Resting: retiredSlotsPerName * most, Idle: l.Idle, Rest: retiredSlotRetention},
			func(slot int) { r.resetSlot(dim, slot) })
	}
	for id, f := range Catalogue {
		slots := r.tables[f.By].Slots()
		switch f.Kind {
		case DistributionKind:
			r.sketches[id] = make([]*Sketch, slots)
		case Gauge:
			r.gaugeSet[id] = make([]bool, slots*ID(id).Parts())
			fallthrough
		case Counter:
			r.values[id] = make([]float64, slots*ID(id).Parts())
		}
	}
	r.answersAtLastCut = make([]float64, len(r.values[Answers]))
	r.Set(Started, cardinality.Other, 0, float64(wall/time.Millisecond)/1000)
	r.Set(Folded, cardinality.Other, 0, 1)
	return r
}

// resetSlot begins the series of a slot at zero for its next name.
func (r *Registry) resetSlot(dim Dimension, slot int) {
	for id, f := range Catalogue {
		if f.By != dim {
			continue
		}
		if f.Kind == DistributionKind {
			r.sketches[id][slot] = nil
			continue
		}
		parts := ID(id).Parts()
		clear(r.values[id][slot*parts : (slot+1)*parts])
		if ID(id) == Answers {
			clear(r.answersAtLastCut[slot*parts : (slot+1)*parts])
		}
	}
}

// Slot is where a name is counted; it counts as heard of.
func (r *Registry) Slot(dim Dimension, name string) int { return r.tables[dim].Slot(name, r.lastCut) }

// Add adds to a counter; slot is that of a name in the figure's dimension, or names.Other where it has none.
func (r *Registry) Add(id ID, slot, part int, n float64) {
	r.values[id][slot*id.Parts()+part] += n
}

// Set sets a gauge, or a counter that is kept elsewhere. A gauge that is not set anew in an interval is not told,
// except one of the whole broker.
func (r *Registry) Set(id ID, slot, part int, v float64) {
	i := slot*id.Parts() + part
	r.values[id][i] = v
	if r.gaugeSet[id] != nil {
		r.gaugeSet[id][i] = true
	}
}

// SetMax sets a gauge to a value if that is larger.
func (r *Registry) SetMax(id ID, slot, part int, v float64) {
	if i := slot*id.Parts() + part; v > r.values[id][i] || !r.gaugeSet[id][i] {
		r.Set(id, slot, part, v)
	}
}

// Observe takes a value of a distribution.
func (r *Registry) Observe(id ID, slot int, v float64) {
	s := r.sketches[id][slot]
	if s == nil { // once a series
		s = NewSketch()
		r.sketches[id][slot] = s
	}
	s.Add(v)
}

// Cut ends an interval and returns its figures. Times are those of the wall clock and of one that is never set.
func (r *Registry) Cut(wall, mono time.Duration) *Interval {
	r.sequence++
	r.Set(Sequence, cardinality.Other, 0, float64(r.sequence))
	for part, dim := range []Dimension{Class, Tenant, Engine, DataSet} {
		active, joined, left, other := r.tables[dim].Counts()
		r.Set(NamesAdmitted, cardinality.Other, part, float64(active))
		r.Set(NamesJoined, cardinality.Other, part, float64(joined))
		r.Set(NamesLeft, cardinality.Other, part, float64(left))
		r.Set(NamesOther, cardinality.Other, part, float64(other))
	}
	r.setInTimeShares()
	v := &Interval{Sequence: r.sequence, FoldedCount: 1, EndTime: r.timestamp(wall), Duration: mono - r.cutAt}
	for id, f := range Catalogue {
		series := func(slot int, s Series) {
			if f.Kind == DistributionKind {
				v.Distributions = r.appendDistribution(v.Distributions, ID(id), slot, s)
				return
			}
			v.Points = r.appendPoints(v.Points, ID(id), slot, s)
		}
		r.tables[f.By].EachName(func(slot int, name string) { series(slot, Series{Figure: ID(id), Name: name}) })
		series(cardinality.Other, Series{Figure: ID(id), Other: f.By != NoDimension})
	}
	slices.SortFunc(v.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) })
	slices.SortFunc(v.Distributions, func(a, b Distribution) int { return compareSeries(a.Series, b.Series) })
	copy(r.answersAtLastCut, r.values[Answers])
	for id, f := range Catalogue {
		if f.Kind == Gauge && f.By != NoDimension || ID(id) == Inbox {
			clear(r.gaugeSet[id])
		}
	}
	for _, t := range r.tables {
		t.Cut(mono)
	}
	r.lastCut, r.cutAt = mono, mono
	return v
}

// maxTimestampLead is how far stamps may run ahead of the wall clock before they follow it back.
const maxTimestampLead = 5 * time.Second

// timestamp is the time that an interval is told under, in whole seconds as Graphite keeps them. Two intervals within one
// second get two stamps, as the later would else take the place of the earlier; a clock that is set back is followed.
func (r *Registry) timestamp(wall time.Duration) time.Duration {
	at := wall.Truncate(time.Second)
	if ahead := r.lastTimestamp - at; ahead >= 0 && ahead < maxTimestampLead {
		at = r.lastTimestamp + time.Second
	}
	r.lastTimestamp = at
	return at
}

// appendPoints tells a counter that has counted, or a gauge that was set.
func (r *Registry) appendPoints(to []Point, id ID, slot int, s Series) []Point {
	for part := range id.Parts() {
		i := slot*id.Parts() + part
		v := r.values[id][i]
		// A counter of many series is told from when it has counted; what is new in a collector began at zero.
		if gauge := r.gaugeSet[id]; gauge != nil && !gauge[i] || gauge == nil && v == 0 && (Catalogue[id].By != NoDimension || id.Parts() > 1) {
			continue
		}
		s.Part = part
		to = append(to, Point{s, v})
	}
	return to
}

// appendDistribution tells a distribution that has values, and empties it.
func (r *Registry) appendDistribution(to []Distribution, id ID, slot int, s Series) []Distribution {
	d := r.sketches[id][slot]
	if d == nil || d.Count() == 0 {
		return to
	}
	r.encodeBuffer = d.Encode(r.encodeBuffer[:0])
	to = append(to, Distribution{Series: s, Count: d.Count(), EncodedSketch: slices.Clone(r.encodeBuffer)})
	d.Clear()
	return to
}

// setInTimeShares sets the part of the interval's answers that came within the wanted time.
func (r *Registry) setInTimeShares() {
	parts := Answers.Parts()
	for slot := range r.tables[Class].Slots() {
		of := func(outcome int) float64 {
			return r.values[Answers][slot*parts+outcome] - r.answersAtLastCut[slot*parts+outcome]
		}
		if owed := of(InTime) + of(Late) + of(Rejected) + of(Failed); owed > 0 {
			r.Set(InTimeShare, slot, 0, of(InTime)/owed)
		}
	}
}

// Value is the value of a counter or gauge of a series as it stands.
func (r *Registry) Value(id ID, slot, part int) float64 { return r.values[id][slot*id.Parts()+part] }

// EachName calls f for each name of a dimension that has a series of its own, and for names.Other with an empty name.
func (r *Registry) EachName(dim Dimension, f func(slot int, name string)) {
	r.tables[dim].EachName(f)
	f(cardinality.Other, "")
}
