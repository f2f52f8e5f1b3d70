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
	// keepSlots is how long the counts of a name that has left are kept, so that it goes on where it was if it comes
	// back. A collector may take a series that was silent for longer as one that begins at zero.
	keepSlots = 2 * time.Hour
	// restFactor is how many such names there are room for, over those admitted.
	restFactor = 2
	// mostDestinations have figures of their own.
	mostDestinations = 8
)

// Registry records figures. It is not safe for concurrent use.
type Registry struct {
	now      time.Duration // of the last cut; names are judged idle by it
	cutAt    time.Duration
	sequence uint64
	stampAt  time.Duration
	tables   [dims]*cardinality.Table
	counts   [figures][]float64 // counters and gauges, by slot and part
	set      [figures][]bool    // gauges that were set in this interval
	before   []float64          // answers by class and outcome at the last cut
	spreads  [figures][]*Sketch // by slot
	scratch  []byte
}

// NewRegistry returns an empty one that starts at a time by the wall clock and by one that is never set.
func NewRegistry(l Limits, wall, mono time.Duration) *Registry {
	r := &Registry{now: mono, cutAt: mono}
	for dim, most := range map[Dim]int{NoDimension: 0, Class: l.Classes, Tenant: l.Tenants, Engine: l.Engines, DataSet: l.DataSets,
		Destination: mostDestinations} {
		r.tables[dim] = cardinality.New(cardinality.Config{Most: most, Resting: restFactor * most, Idle: l.Idle, Rest: keepSlots},
			func(slot int) { r.clear(dim, slot) })
	}
	for id, f := range Catalogue {
		slots := r.tables[f.By].Slots()
		switch f.Kind {
		case DistributionKind:
			r.spreads[id] = make([]*Sketch, slots)
		case Gauge:
			r.set[id] = make([]bool, slots*ID(id).Parts())
			fallthrough
		case Counter:
			r.counts[id] = make([]float64, slots*ID(id).Parts())
		}
	}
	r.before = make([]float64, len(r.counts[Answers]))
	r.Set(Started, cardinality.Other, 0, float64(wall/time.Millisecond)/1000)
	r.Set(Folded, cardinality.Other, 0, 1)
	return r
}

// clear begins the series of a slot at zero for its next name.
func (r *Registry) clear(dim Dim, slot int) {
	for id, f := range Catalogue {
		if f.By != dim {
			continue
		}
		if f.Kind == DistributionKind {
			r.spreads[id][slot] = nil
			continue
		}
		parts := ID(id).Parts()
		clear(r.counts[id][slot*parts : (slot+1)*parts])
		if ID(id) == Answers {
			clear(r.before[slot*parts : (slot+1)*parts])
		}
	}
}

// Slot is where a name is counted; it counts as heard of.
func (r *Registry) Slot(dim Dim, name string) int { return r.tables[dim].Slot(name, r.now) }

// Add adds to a counter; slot is that of a name in the figure's dimension, or names.Other where it has none.
func (r *Registry) Add(id ID, slot, part int, n float64) {
	r.counts[id][slot*id.Parts()+part] += n
}

// Set sets a gauge, or a counter that is kept elsewhere. A gauge that is not set anew in an interval is not told,
// except one of the whole broker.
func (r *Registry) Set(id ID, slot, part int, v float64) {
	i := slot*id.Parts() + part
	r.counts[id][i] = v
	if r.set[id] != nil {
		r.set[id][i] = true
	}
}

// Raise sets a gauge to a value if that is larger.
func (r *Registry) Raise(id ID, slot, part int, v float64) {
	if i := slot*id.Parts() + part; v > r.counts[id][i] || !r.set[id][i] {
		r.Set(id, slot, part, v)
	}
}

// Observe takes a value of a distribution.
func (r *Registry) Observe(id ID, slot int, v float64) {
	s := r.spreads[id][slot]
	if s == nil { // once a series
		s = NewSketch()
		r.spreads[id][slot] = s
	}
	s.Add(v)
}

// Cut ends an interval and returns its figures. Times are those of the wall clock and of one that is never set.
func (r *Registry) Cut(wall, mono time.Duration) *Interval {
	r.sequence++
	r.Set(Sequence, cardinality.Other, 0, float64(r.sequence))
	for part, dim := range []Dim{Class, Tenant, Engine, DataSet} {
		active, joined, left, other := r.tables[dim].Counts()
		r.Set(NamesAdmitted, cardinality.Other, part, float64(active))
		r.Set(NamesJoined, cardinality.Other, part, float64(joined))
		r.Set(NamesLeft, cardinality.Other, part, float64(left))
		r.Set(NamesOther, cardinality.Other, part, float64(other))
	}
	r.shares()
	v := &Interval{Number: r.sequence, Of: 1, At: r.stamp(wall), Took: mono - r.cutAt}
	for id, f := range Catalogue {
		series := func(slot int, s Series) {
			if f.Kind == DistributionKind {
				v.Spreads = r.spread(v.Spreads, ID(id), slot, s)
				return
			}
			v.Points = r.points(v.Points, ID(id), slot, s)
		}
		r.tables[f.By].Each(func(slot int, name string) { series(slot, Series{Figure: ID(id), Name: name}) })
		series(cardinality.Other, Series{Figure: ID(id), Other: f.By != NoDimension})
	}
	slices.SortFunc(v.Points, func(a, b Point) int { return compareSeries(a.Series, b.Series) })
	slices.SortFunc(v.Spreads, func(a, b Distribution) int { return compareSeries(a.Series, b.Series) })
	copy(r.before, r.counts[Answers])
	for id, f := range Catalogue {
		if f.Kind == Gauge && f.By != NoDimension || ID(id) == Inbox {
			clear(r.set[id])
		}
	}
	for _, t := range r.tables {
		t.Cut(mono)
	}
	r.now, r.cutAt = mono, mono
	return v
}

// mostAhead is how far stamps may run ahead of the wall clock before they follow it back.
const mostAhead = 5 * time.Second

// stamp is the time that an interval is told under, in whole seconds as Graphite keeps them. Two intervals within one
// second get two stamps, as the later would else take the place of the earlier; a clock that is set back is followed.
func (r *Registry) stamp(wall time.Duration) time.Duration {
	at := wall.Truncate(time.Second)
	if ahead := r.stampAt - at; ahead >= 0 && ahead < mostAhead {
		at = r.stampAt + time.Second
	}
	r.stampAt = at
	return at
}

// points tells a counter that has counted, or a gauge that was set.
func (r *Registry) points(to []Point, id ID, slot int, s Series) []Point {
	for part := range id.Parts() {
		i := slot*id.Parts() + part
		v := r.counts[id][i]
		// A counter of many series is told from when it has counted; what is new in a collector began at zero.
		if gauge := r.set[id]; gauge != nil && !gauge[i] || gauge == nil && v == 0 && (Catalogue[id].By != NoDimension || id.Parts() > 1) {
			continue
		}
		s.Part = part
		to = append(to, Point{s, v})
	}
	return to
}

// spread tells a distribution that has values, and empties it.
func (r *Registry) spread(to []Distribution, id ID, slot int, s Series) []Distribution {
	d := r.spreads[id][slot]
	if d == nil || d.Count() == 0 {
		return to
	}
	r.scratch = d.Encode(r.scratch[:0])
	to = append(to, Distribution{Series: s, Count: d.Count(), Data: slices.Clone(r.scratch)})
	d.Clear()
	return to
}

// shares sets the part of the interval's answers that came within the wanted time.
func (r *Registry) shares() {
	parts := Answers.Parts()
	for slot := range r.tables[Class].Slots() {
		of := func(outcome int) float64 { return r.counts[Answers][slot*parts+outcome] - r.before[slot*parts+outcome] }
		if owed := of(InTime) + of(Late) + of(Rejected) + of(Failed); owed > 0 {
			r.Set(InTimeShare, slot, 0, of(InTime)/owed)
		}
	}
}

// Count is the value of a counter or gauge of a series as it stands.
func (r *Registry) Count(id ID, slot, part int) float64 { return r.counts[id][slot*id.Parts()+part] }

// Each calls f for each name of a dimension that has a series of its own, and for names.Other with an empty name.
func (r *Registry) Each(dim Dim, f func(slot int, name string)) {
	r.tables[dim].Each(f)
	f(cardinality.Other, "")
}
