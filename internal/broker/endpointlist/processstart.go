package endpointlist

import "time"

// The endpoint list says when an engine started as a date of another machine's clock. The reducer's time runs on
// evenly whatever happens to this machine's wall clock, so a date has to be translated once the wall clock was
// stepped: it may have been right before the step or since.

// processStart is when an engine's process started.
type processStart struct {
	date     time.Duration // as the endpoint list has it; 0: long ago
	earliest time.Duration // in the reducer's time, by the clock that makes it earlier
	latest   time.Duration // by the one that makes it later, but not after it was listed
}

// newProcessStart translates a date that was read at a time, when the wall clock was ahead of the reducer's time by
// an offset. An engine that is taken for younger than it is is spared for too long; one taken for older could be
// overloaded while it warms up. So the latest start counts for its slow start.
func newProcessStart(now, date, wallOffset time.Duration) processStart {
	if date <= 0 {
		return processStart{}
	}
	before, since := date, date-wallOffset // by the clock before the step, and since
	s := processStart{date: date, earliest: max(1, min(before, since)), latest: max(before, since)}
	if s.latest > now {
		s.latest = min(before, since)
	}
	s.latest = max(1, min(s.latest, now))
	return s
}

// follows returns the start time of a process that followed another one: it is later, whatever the clocks say.
func (s processStart) follows(previous processStart) processStart {
	s.latest = max(s.latest, previous.latest+1)
	return s
}
