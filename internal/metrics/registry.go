package metrics

import (
	"time"

	"wheatlane/internal/cardinality"
)

// Limits limits the names that have series of their own.
type Limits struct {
	Classes, Tenants, Engines, DataSets int           // maximum number of names at a time
	IdleTimeout                         time.Duration // an unused name retires after this time
}

const (
	// retiredSlotRetention is how long the counts of a retired name are retained, so that they continue if the name
	// returns. A collector may treat a series that was absent for longer as a new one that starts at zero.
	retiredSlotRetention = 2 * time.Hour
	// retiredSlotsPerName is the number of slots for retired names, per name that may be admitted.
	retiredSlotsPerName = 2
	// maxDestinations is the number of destinations that have series of their own.
	maxDestinations = 8

	millisecondsPerSecond = 1000
)

// Registry records metrics. It is not safe for concurrent use. Times are of a monotonic clock unless stated otherwise.
type Registry struct {
	intervalStart           time.Duration
	lastTimestamp           time.Duration // wall clock
	sequence                uint64        // sequence number of the last interval
	tables                  [dimensionCount]*cardinality.Table
	values                  [metricCount][]float64 // counters and gauges, by slot and label
	gaugeSet                [metricCount][]bool    // gauges set in this interval, by slot and label
	sketches                [metricCount][]*Sketch // distributions, by slot
	outcomesAtIntervalStart []float64              // values of RequestOutcomes
	encodeBuffer            []byte
}

// NewRegistry returns an empty registry whose first interval starts at the given times of the wall clock and the
// monotonic clock.
func NewRegistry(limits Limits, wall, monotonic time.Duration) *Registry {
	r := &Registry{intervalStart: monotonic}
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
	r.outcomesAtIntervalStart = make([]float64, len(r.values[RequestOutcomes]))
	r.Set(StartTime, cardinality.Other, 0, float64(wall/time.Millisecond)/millisecondsPerSecond)
	r.Set(MergedIntervals, cardinality.Other, 0, 1)
	return r
}

// makeSeries allocates the series of a metric.
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

// resetSlot resets the series of a slot to zero when another name gets the slot.
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
				clear(r.outcomesAtIntervalStart[first:end])
			}
		}
	}
}

// Slot returns the slot that a name is counted under, which is cardinality.Other if the name is not admitted.
func (r *Registry) Slot(dim Dimension, name string) int {
	return r.tables[dim].Slot(name, r.intervalStart)
}

// EachName calls f for each name of a dimension that has series of its own, and then for cardinality.Other with an
// empty name.
func (r *Registry) EachName(dim Dimension, f func(slot int, name string)) {
	r.tables[dim].EachName(f)
	f(cardinality.Other, "")
}

// index returns the index of a series in the values of its metric.
func (id ID) index(slot, label int) int { return slot*id.SeriesPerName() + label }

// Add increases a counter. The slot belongs to a name in the metric's dimension; it is cardinality.Other if the metric
// has no dimension.
func (r *Registry) Add(id ID, slot, label int, increment float64) {
	r.values[id][id.index(slot, label)] += increment
}

// Set sets a gauge, or a counter that is counted elsewhere. A gauge with a dimension is reported only in intervals in
// which it was set.
func (r *Registry) Set(id ID, slot, label int, value float64) {
	i := id.index(slot, label)
	r.values[id][i] = value
	if r.gaugeSet[id] != nil {
		r.gaugeSet[id][i] = true
	}
}

// SetMax sets a gauge to a value if the gauge has no larger value from the same interval.
func (r *Registry) SetMax(id ID, slot, label int, value float64) {
	if i := id.index(slot, label); value > r.values[id][i] || !r.gaugeSet[id][i] {
		r.Set(id, slot, label, value)
	}
}

// Observe adds a value to a distribution.
func (r *Registry) Observe(id ID, slot int, value float64) {
	sketch := r.sketches[id][slot]
	if sketch == nil { // first value of the series
		sketch = NewSketch()
		r.sketches[id][slot] = sketch
	}
	sketch.Add(value)
}

// Value returns the current value of a counter or gauge.
func (r *Registry) Value(id ID, slot, label int) float64 { return r.values[id][id.index(slot, label)] }
