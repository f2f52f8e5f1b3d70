package metrics

import (
	"time"

	"wheatlane/internal/cardinality"
)

// Limits bound the names that a registry keeps.
type Limits struct {
	Classes, Tenants, Engines, DataSets int           // names that have series of their own, at a time
	IdleTimeout                         time.Duration // after which an unused name retires
}

const (
	// retiredSlotRetention is how long the counts of a retired name are kept, so that they go on where they
	// were if it comes back. A collector may take a series that was silent for longer as one that begins at
	// zero.
	retiredSlotRetention = 2 * time.Hour
	// retiredSlotsPerName is the number of slots of retired names for each name that may be admitted.
	retiredSlotsPerName = 2
	// maxDestinations have series of their own.
	maxDestinations = 8

	millisecondsPerSecond = 1000
)

// Registry records figures. It is not safe for concurrent use. Times are by a monotonic clock where no other is
// named.
type Registry struct {
	lastCut          time.Duration
	lastTimestamp    time.Duration // by the wall clock
	sequence         uint64        // of the last interval
	tables           [dimensionCount]*cardinality.Table
	values           [figureCount][]float64 // of counters and gauges, by slot and label
	gaugeSet         [figureCount][]bool    // gauges that were set in this interval
	sketches         [figureCount][]*Sketch // of distributions, by slot
	answersAtLastCut []float64              // by slot and label
	encodeBuffer     []byte
}

// NewRegistry returns an empty registry that starts at the times of the wall clock and of a monotonic clock.
func NewRegistry(limits Limits, wall, monotonic time.Duration) *Registry {
	r := &Registry{lastCut: monotonic}
	maxNames := [dimensionCount]int{
		Class:       limits.Classes,
		Tenant:      limits.Tenants,
		Engine:      limits.Engines,
		DataSet:     limits.DataSets,
		Destination: maxDestinations,
	}
	for i, names := range maxNames {
		r.tables[i] = cardinality.New(cardinality.Config{
			MaxNames:         names,
			RetiredSlots:     retiredSlotsPerName * names,
			IdleTimeout:      limits.IdleTimeout,
			RetiredRetention: retiredSlotRetention,
		}, func(slot int) { r.resetSlot(Dimension(i), slot) })
	}
	for i := range Catalogue {
		r.makeSeries(ID(i))
	}
	r.answersAtLastCut = make([]float64, len(r.values[RequestOutcomes]))
	r.Set(StartTime, cardinality.Other, 0, float64(wall/time.Millisecond)/millisecondsPerSecond)
	r.Set(MergedIntervals, cardinality.Other, 0, 1)
	return r
}

// makeSeries allocates the values of a figure.
func (r *Registry) makeSeries(id ID) {
	slots := r.tables[Catalogue[id].Dimension].Slots()
	switch Catalogue[id].Kind {
	case Counter:
		r.values[id] = make([]float64, slots*id.SeriesPerName())
	case Gauge:
		r.values[id] = make([]float64, slots*id.SeriesPerName())
		r.gaugeSet[id] = make([]bool, slots*id.SeriesPerName())
	case DistributionKind:
		r.sketches[id] = make([]*Sketch, slots)
	}
}

// resetSlot starts the series of a slot at zero for its next name.
func (r *Registry) resetSlot(dim Dimension, slot int) {
	for i := range Catalogue {
		id := ID(i)
		switch {
		case Catalogue[id].Dimension != dim:
		case Catalogue[id].Kind == DistributionKind:
			r.sketches[id][slot] = nil
		default:
			first, end := slot*id.SeriesPerName(), (slot+1)*id.SeriesPerName()
			clear(r.values[id][first:end])
			if id == RequestOutcomes {
				clear(r.answersAtLastCut[first:end])
			}
		}
	}
}

// Slot returns the slot that a name is counted under.
func (r *Registry) Slot(dim Dimension, name string) int { return r.tables[dim].Slot(name, r.lastCut) }

// EachName calls f for each name of a dimension that has series of its own, and for cardinality.Other with an
// empty name.
func (r *Registry) EachName(dim Dimension, f func(slot int, name string)) {
	r.tables[dim].EachName(f)
	f(cardinality.Other, "")
}

// index is the place of a series among the values of its figure.
func (id ID) index(slot, label int) int { return slot*id.SeriesPerName() + label }

// Add adds to a counter. The slot is that of a name in the figure's dimension, or cardinality.Other where it
// has none.
func (r *Registry) Add(id ID, slot, label int, increment float64) {
	r.values[id][id.index(slot, label)] += increment
}

// Set sets a gauge, or a counter that is counted elsewhere. A gauge by name that is not set in an interval is
// not reported in that.
func (r *Registry) Set(id ID, slot, label int, value float64) {
	i := id.index(slot, label)
	r.values[id][i] = value
	if r.gaugeSet[id] != nil {
		r.gaugeSet[id][i] = true
	}
}

// SetMax sets a gauge to a value if that is larger than what it was set to in this interval.
func (r *Registry) SetMax(id ID, slot, label int, value float64) {
	if i := id.index(slot, label); value > r.values[id][i] || !r.gaugeSet[id][i] {
		r.Set(id, slot, label, value)
	}
}

// Observe adds a value to a distribution.
func (r *Registry) Observe(id ID, slot int, value float64) {
	sketch := r.sketches[id][slot]
	if sketch == nil { // once a series
		sketch = NewSketch()
		r.sketches[id][slot] = sketch
	}
	sketch.Add(value)
}

// Value is the value of a counter or gauge as it stands.
func (r *Registry) Value(id ID, slot, label int) float64 { return r.values[id][id.index(slot, label)] }
