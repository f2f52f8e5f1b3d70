// Package loadreport estimates the load of engines from the reports that they give of it, and that of a pool
// from its engines.
package loadreport

import "wheatlane/control/units"

// Report is what an engine reports of its load. The zero value stands for no report.
type Report struct {
	Reported         bool
	Utilization      units.Fraction // of the engine's busiest resource; 0: not reported
	RequestsInFlight float64        // at the engine; 0: not reported
}

// Demand is what the mean request in service takes.
type Demand struct{ Threads, MemoryMB float64 }

// Capacity is what an engine has.
type Capacity struct{ Threads, MemoryMB float64 }

// Load is the load that a report shows: the utilization, or the fraction of the capacity that the
// requests in flight take, if that is more.
func (r Report) Load(demand Demand, capacity Capacity) units.Fraction {
	byThreads := units.Fraction(r.RequestsInFlight * demand.Threads / capacity.Threads)
	byMemory := units.Fraction(r.RequestsInFlight * demand.MemoryMB / capacity.MemoryMB)
	return max(0, r.Utilization, byThreads, byMemory)
}
