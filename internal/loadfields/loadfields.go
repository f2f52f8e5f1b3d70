// Package loadfields knows the fields of a load report as the settings of a deployment name them.
package loadfields

import (
	"wheatlane/control/loadreport"
	"wheatlane/control/units"
)

// The fields that say something of an engine's load. A deployment may name others.
const (
	utilization      = "util"
	firstResource    = "x0" // share in use of one resource
	secondResource   = "x1" // the same of another one
	requestsInFlight = "inflight"
)

// Layout is the names of the values of a load report, in their order. It is empty where engines report none.
type Layout []string

// Report returns the report that some values make up; none unless there is a value for each field. Other
// fields than those above are passed over.
func (l Layout) Report(values []float64) loadreport.Report {
	if len(values) == 0 || len(values) != len(l) {
		return loadreport.Report{}
	}
	report := loadreport.Report{Reported: true}
	for i, name := range l {
		switch name {
		case utilization, firstResource, secondResource:
			report.Utilization = max(report.Utilization, units.Fraction(values[i]))
		case requestsInFlight:
			report.RequestsInFlight = max(report.RequestsInFlight, values[i])
		}
	}
	return report
}
