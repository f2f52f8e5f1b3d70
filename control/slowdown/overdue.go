package slowdown

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

const (
	minUsualSeconds = 0.1 // that any answer may take
	overdueAllowed  = 2   // overdue ratio up to which nothing is slow
)

// InFlight is an attempt that is in flight.
type InFlight struct {
	SentAt       time.Duration
	ExpectedWork units.ThreadSeconds
	Threads      int
}

// usualSeconds is the time that an attempt takes on an engine that is not slow.
func (a *InFlight) usualSeconds() float64 {
	return float64(a.ExpectedWork)/float64(a.Threads) + minUsualSeconds
}

// overdueRatio is the age of attempts over their usual time: the median, which one long request can't move.
func overdueRatio(attempts []InFlight, now time.Duration) float64 {
	ratios := make([]float64, 0, len(attempts))
	for i := range attempts {
		ratios = append(ratios, (now-attempts[i].SentAt).Seconds()/attempts[i].usualSeconds())
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
