package endpointlist

import "time"

// processStart is the start time of an engine's process. The endpoint list reports it as a date by another machine's
// clock, while the reducer's time does not follow steps of this machine's wall clock. After a step, the date may agree
// with the wall clock before or after the step, so the start times by both are stored.
type processStart struct {
	reported time.Duration // date in the endpoint list; 0: long ago
	earliest time.Duration // earlier of the two start times, in the reducer's time
	latest   time.Duration // later of the two start times, but not after the engine was listed
}

// newProcessStart converts a date that was read at now, with the wall clock ahead of the reducer's time by wallOffset.
// Slow start uses the latest start time: an engine that is older than assumed gets less load than possible for a while,
// but one that is younger would be overloaded while it warms up.
func newProcessStart(now, reported, wallOffset time.Duration) processStart {
	if reported <= 0 {
		return processStart{}
	}
	beforeStep, afterStep := reported, reported-wallOffset // by the wall clock before and after its step
	start := processStart{
		reported: reported,
		earliest: max(1, min(beforeStep, afterStep)),
		latest:   max(beforeStep, afterStep),
	}
	if start.latest > now {
		start.latest = min(beforeStep, afterStep)
	}
	start.latest = max(1, min(start.latest, now))
	return start
}

// clampAfter returns the start time of a process that replaced a previous one. Its latest start is after that of the
// previous process, whatever the clocks showed.
func (s processStart) clampAfter(previous processStart) processStart {
	s.latest = max(s.latest, previous.latest+1)
	return s
}
