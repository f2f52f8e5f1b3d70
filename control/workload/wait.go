package workload

import (
	"time"

	"wheatlane/control/units"
	"wheatlane/internal/estimate"
)

// waitWeight is the weight of one request in the mean wait.
const waitWeight = 0.05

// Wait estimates the time for which requests wait at the broker before their first attempt.
type Wait struct{ mean units.Seconds }

// Observe records the wait of one request.
func (w *Wait) Observe(wait time.Duration) {
	w.mean = estimate.EWMA(w.mean, units.SecondsOf(wait), waitWeight)
}

// Mean returns the mean wait.
func (w *Wait) Mean() units.Seconds { return w.mean }
