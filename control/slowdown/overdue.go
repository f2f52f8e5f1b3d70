package slowdown

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	overdueAllowed = 2 // overdue ratio up to which nothing is slow

	minUsualTime units.Seconds = 0.1 // that any answer may take
)

// InFlight is an attempt that is in flight.
type InFlight struct {
	SentAt       time.Duration
	ExpectedWork units.ThreadSeconds
	Threads      int
}

// usualTime is the time that an attempt takes on an engine that is not slow.
func (a *InFlight) usualTime() units.Seconds {
	return units.Seconds(float64(a.ExpectedWork)/float64(a.Threads)) + minUsualTime
}

// overdueRatio is the age of attempts over their usual time: the median, which one long request can't move.
func overdueRatio(attempts []InFlight, now time.Duration) float64 {
	ratios := make([]float64, 0, len(attempts))
	for i := range attempts {
		age := units.SecondsOf(now - attempts[i].SentAt)
		ratios = append(ratios, float64(age/attempts[i].usualTime()))
	}
	return estimate.Median(ratios)
}

// OrOverdue is the larger of an engine's estimated slowdown and the one that its overdue attempts show.
func (e *Engine) OrOverdue(estimated units.LogRatio) units.LogRatio {
	if e.overdue <= overdueAllowed { // its logarithm is at most 0, as a slowdown is at least
		return estimated
	}
	return max(estimated, units.LogOf(e.overdue/overdueAllowed))
}
