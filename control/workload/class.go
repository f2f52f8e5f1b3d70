package workload

import (
	"time"

	"wheatlane/control/units"
)

// ClassSettings are the settings of a class that its estimates depend on.
type ClassSettings struct {
	LatencyObjective time.Duration
	Threads          int            // that a request runs on
	PriorityWeight   float64        // what an answer within the objective counts for
	LateWeight       units.Fraction // fraction of it that a later answer counts for
	HoldsDataSetLock bool           // a request locks its data set while it runs
}

// ClassEstimates holds what is learned of one class of request.
type ClassEstimates struct {
	settings    ClassSettings
	Cost        Cost
	ServiceTime ServiceTime
	Wait        Wait
	Abandonment Abandonment
	Traffic     Traffic
}

// initialWorkFraction is the fraction of the latency objective that a request is expected to take before any
// answer.
const initialWorkFraction = 0.25

// newClassEstimates returns the estimates of a class without answers.
func newClassEstimates(settings ClassSettings) *ClassEstimates {
	objective, threads := settings.LatencyObjective.Seconds(), float64(settings.Threads)
	return &ClassEstimates{
		settings:    settings,
		Cost:        NewCost(units.ThreadSeconds(initialWorkFraction * objective * threads)),
		ServiceTime: newServiceTime(),
	}
}

// weightPerThreadSecond is the priority weight that an answer earns for its work.
func (c *ClassEstimates) weightPerThreadSecond() float64 {
	return c.settings.PriorityWeight / float64(c.Cost.MeanWork())
}
