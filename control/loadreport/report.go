// Package loadreport estimates the load of engines from their load reports, and the load of a pool from the
// loads of its engines.
package loadreport

import "wheatlane/control/units"

// Report is an engine's load report. The zero value stands for no report.
type Report struct {
	Reported         bool
	Utilization      units.Fraction // utilization of the engine's busiest resource; 0: not reported
	RequestsInFlight float64        // requests in flight at the engine; 0: not reported
}

// Demand is the mean demand of a request in service.
type Demand struct{ Threads, MemoryMB float64 }

// Capacity is the capacity of an engine.
type Capacity struct{ Threads, MemoryMB float64 }

// Load returns the load according to a report: the larger of the utilization and the fraction of the capacity
// that the requests in flight use.
func (r Report) Load(demand Demand, capacity Capacity) units.Fraction {
	byThreads := units.Fraction(r.RequestsInFlight * demand.Threads / capacity.Threads)
	byMemory := units.Fraction(r.RequestsInFlight * demand.MemoryMB / capacity.MemoryMB)
	return max(0, r.Utilization, byThreads, byMemory)
}
