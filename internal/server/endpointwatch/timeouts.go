package endpointwatch

import "time"

// timeouts holds the timeouts of a connection to the change log.
type timeouts struct {
	grace   time.Duration // for a response, in addition to the hold time of the poll (pollTimeout)
	partial time.Duration // for a response, from its first bytes to its last
}

const (
	pollGrace          = 400 * time.Millisecond
	partialPageTimeout = 400 * time.Millisecond
)

// timeoutLevels are the timeouts from the shortest to the longest. The shortest detect an unresponsive change log soon.
// The longest tolerate a slow or saturated one, within the 2 s after which an update counts as announced.
var timeoutLevels = [...]timeouts{
	{grace: pollGrace, partial: partialPageTimeout},
	{grace: time.Second, partial: 2 * partialPageTimeout},
	{grace: 2 * time.Second, partial: 2 * time.Second},
}

// responsesToShorten is the number of consecutive responses after which the timeouts are shortened by one level.
const responsesToShorten = 8

// adaptiveTimeouts selects a level of timeouts: a longer one after each timeout that expired, a shorter one after
// responsesToShorten consecutive responses.
type adaptiveTimeouts struct {
	level     int
	responses int // consecutive, at this level
}

func (t *adaptiveTimeouts) current() timeouts { return timeoutLevels[t.level] }

// recordTimeout records that one of the timeouts has expired.
func (t *adaptiveTimeouts) recordTimeout() {
	t.level, t.responses = min(t.level+1, len(timeoutLevels)-1), 0
}

// recordResponse records a response.
func (t *adaptiveTimeouts) recordResponse() {
	if t.responses++; t.responses >= responsesToShorten {
		t.level, t.responses = max(t.level-1, 0), 0
	}
}
