// Package loadfields converts the values of an engine's load report, whose fields are named in the settings, into a
// loadreport.Report.
package loadfields

import (
	"wheatlane/control/loadreport"
	"wheatlane/control/units"
)

// The names of the fields that are evaluated. A deployment may configure others, which are ignored.
const (
	utilization      = "util"
	firstResource    = "x0" // fraction of one resource in use
	secondResource   = "x1" // fraction of another resource in use
	requestsInFlight = "inflight"
)

// Layout lists the field names of a load report in the order of its values. It is empty if engines report no load.
type Layout []string

// Report converts the values of a load report. Without exactly one value for each field it returns the zero Report,
// which is not Reported. Utilization is that of the resource with the highest one. Unknown fields are ignored.
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
