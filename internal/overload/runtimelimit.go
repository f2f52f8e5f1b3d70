package overload

import "time"

const (
	// residentTarget is the fraction of the memory limit that the resident size may reach by garbage.
	residentTarget = 0.85
	// minRuntimeFraction and maxRuntimeFraction of the memory limit bound the memory limit of the Go runtime.
	minRuntimeFraction = 0.25
	maxRuntimeFraction = 0.6
	// runtimeLimitInterval is the minimum time between two changes of the runtime's limit.
	runtimeLimitInterval = time.Second
	// minLimitChange is the smallest change of the runtime's limit, as a fraction of it.
	minLimitChange = 0.03
)

// runtimeLimiter sets the memory limit of the Go runtime by what the process holds outside of the runtime: the pages of
// the program file are not known before.
type runtimeLimiter struct {
	changedAt time.Duration
}

// update returns the limit that the runtime must have from now on; changed is false if it stays as it is.
func (r *runtimeLimiter) update(now time.Duration, usage Usage, limits Limits) (limit int64, changed bool) {
	if now-r.changedAt < runtimeLimitInterval || usage.ResidentBytes == 0 {
		return 0, false
	}
	memory := float64(limits.ResidentBytes)
	outside := max(0, usage.ResidentBytes-usage.RuntimeBytes)
	wanted := min(maxRuntimeFraction*memory, max(minRuntimeFraction*memory, residentTarget*memory-float64(outside)))
	change := wanted/float64(limits.RuntimeBytes) - 1
	if max(change, -change) < minLimitChange {
		return 0, false
	}
	r.changedAt = now
	return int64(wanted), true
}
