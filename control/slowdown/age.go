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

// OverdueRatio is the age of the attempt over the time that it takes on an engine that is not slow.
func (a InFlight) OverdueRatio(now time.Duration) float64 {
	usualTime := a.ExpectedWork.OnThreads(a.Threads) + minUsualTime
	return float64(units.SecondsOf(now-a.SentAt) / usualTime)
}

// SetOverdue updates the overdue ratio by those of the attempts in flight, which it sorts: it is the median,
// which one long request can't move.
func (e *Engine) SetOverdue(ratios []float64) { e.overdue = estimate.Median(ratios) }

// OrOverdue is the larger of an engine's estimated slowdown and the one that its overdue attempts show.
func (e *Engine) OrOverdue(estimated units.LogRatio) units.LogRatio {
	if e.overdue <= overdueAllowed { // its logarithm is at most 0, as a slowdown is at least
		return estimated
	}
	return max(estimated, units.LogOf(e.overdue/overdueAllowed))
}
