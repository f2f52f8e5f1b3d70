package endpointwatch

import "time"

// timeouts are those of a connection to the change log.
type timeouts struct {
	connect time.Duration
	grace   time.Duration // of an answer, beyond the time that the change log is asked to hold the poll
	partial time.Duration // of an answer, from its first bytes to its last
}

const (
	connectTimeout     = 500 * time.Millisecond
	pollGrace          = 400 * time.Millisecond
	partialPageTimeout = 400 * time.Millisecond
)

// timeoutLevels are the timeouts from the shortest to the longest. With the shortest a change log that has fallen
// silent is soon noticed; with the longest one that is slow or saturated is followed, within the 2 s after which an
// update counts as announced.
var timeoutLevels = [...]timeouts{
	{connect: connectTimeout, grace: pollGrace, partial: partialPageTimeout},
	{connect: 2 * connectTimeout, grace: time.Second, partial: 2 * partialPageTimeout},
	{connect: 3 * connectTimeout, grace: 2 * time.Second, partial: 2 * time.Second},
}

// answersToShorten is the number of answers in a row that shorten the timeouts by a level.
const answersToShorten = 8

// adaptiveTimeouts choose a level: a longer one after each timeout that passed, a shorter one after a run of answers.
type adaptiveTimeouts struct {
	level   int
	answers int // in a row
}

func (t *adaptiveTimeouts) current() timeouts { return timeoutLevels[t.level] }

// exceeded records that one of the timeouts has passed.
func (t *adaptiveTimeouts) exceeded() {
	t.level, t.answers = min(t.level+1, len(timeoutLevels)-1), 0
}

// answered records an answer.
func (t *adaptiveTimeouts) answered() {
	if t.answers++; t.answers >= answersToShorten {
		t.level, t.answers = max(t.level-1, 0), 0
	}
}
