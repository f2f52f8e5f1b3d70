package endpointlist

import "time"

// processStart is when an engine's process started. The endpoint list has it as a date of another machine's clock, and
// the reducer's time does not follow steps of this machine's wall clock. After a step nobody knows whether the date
// agrees with the clock before it or after it, so both are kept.
type processStart struct {
	reported time.Duration // as the endpoint list has it; 0: long ago
	earliest time.Duration // the earlier of the two, in the reducer's time
	latest   time.Duration // the later of the two, but not after it was listed
}

// newProcessStart translates a date that was read at now, with the wall clock ahead of the reducer's time by
// wallOffset. The latest start is the one for slow start: an engine that is older than assumed only gets less load for
// a while, but one that is younger would be overloaded while it warms up.
func newProcessStart(now, reported, wallOffset time.Duration) processStart {
	if reported <= 0 {
		return processStart{}
	}
	beforeStep, afterStep := reported, reported-wallOffset // by the wall clock before and after its step
	start := processStart{reported: reported, earliest: max(1, min(beforeStep, afterStep)), latest: max(beforeStep, afterStep)}
	if start.latest > now {
		start.latest = min(beforeStep, afterStep)
	}
	start.latest = max(1, min(start.latest, now))
	return start
}

// clampAfter returns the start time of a process that followed another one: it is later, whatever the clocks say.
func (s processStart) clampAfter(previous processStart) processStart {
	s.latest = max(s.latest, previous.latest+1)
	return s
}
