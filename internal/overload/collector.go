package overload

import "time"

const (
	// collectPressure is the fraction of the limit of the resident size from which garbage is collected.
	collectPressure = 0.85
	// garbageDivisor: under pressure, garbage is worth a collection from 1/garbageDivisor of the memory limit.
	garbageDivisor = 16
	// minReleasedBytes is what the accounts must have released for a collection.
	minReleasedBytes = 2 << 20
	// minCollectInterval is the time between collections that are requested. One takes some milliseconds of the core.
	minCollectInterval = 250 * time.Millisecond
)

// collector decides when garbage is collected earlier than the runtime would. The runtime lets garbage grow to the size
// of what was live at its last collection: what a crowd held stays in memory long after the crowd has left.
type collector struct {
	requestedAt  time.Duration
	requested    bool // since the start
	collections  uint64
	maxAccounted int64 // since the last collection
}

// update reports whether to collect now. fresh asks for a collection whose result is needed.
func (c *collector) update(now time.Duration, usage Usage, limits Limits, fresh bool) bool {
	if usage.Collections != c.collections {
		c.collections, c.maxAccounted = usage.Collections, usage.Accounted
	}
	c.maxAccounted = max(c.maxAccounted, usage.Accounted)
	released := c.maxAccounted-usage.Accounted >= minReleasedBytes
	full := float64(usage.ResidentBytes) >= collectPressure*float64(limits.ResidentBytes) &&
		usage.RuntimeBytes-usage.HeldBytes >= limits.ResidentBytes/garbageDivisor
	if !released && !full && !fresh || c.requested && now-c.requestedAt < minCollectInterval {
		return false
	}
	c.requested, c.requestedAt = true, now
	return true
}
