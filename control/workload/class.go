package workload

import (
	"time"

	"wheatlane/control/units"
)

// ClassSettings holds the settings of a class that its estimates depend on.
type ClassSettings struct {
	LatencyObjective time.Duration
	Threads          int            // threads that a request runs on
	PriorityWeight   float64        // value of an answer within the latency objective
	LateWeight       units.Fraction // fraction of PriorityWeight that a late answer is worth
	HoldsDataSetLock bool           // a request locks its data set while it runs
}

// ClassEstimates holds the estimates of one class of request.
type ClassEstimates struct {
	settings    ClassSettings
	Cost        Cost
	ServiceTime ServiceTime
	Wait        Wait
	Abandonment Abandonment
	Traffic     Traffic
}

// initialWorkFraction is the expected service time of a request before the first answer, as a fraction of the
// latency objective.
const initialWorkFraction = 0.25

// NewClassEstimates returns the estimates of a class without answers.
func NewClassEstimates(settings ClassSettings) *ClassEstimates {
	objective, threads := settings.LatencyObjective.Seconds(), float64(settings.Threads)
	return &ClassEstimates{
		settings:    settings,
		Cost:        NewCost(units.ThreadSeconds(initialWorkFraction * objective * threads)),
		ServiceTime: newServiceTime(),
	}
}

// weightPerThreadSecond returns the priority weight of an answer over the mean work of a request.
func (c *ClassEstimates) weightPerThreadSecond() float64 {
	return c.settings.PriorityWeight / float64(c.Cost.MeanWork())
}
