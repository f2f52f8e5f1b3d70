// Package retry decides whether a further attempt of a request is worth its cost: a retry after an attempt
// that ended without an answer, or one that hedges an attempt whose answer is overdue.
package retry

import "time"

// minBatches is the number of batch intervals that a retry needs at least, to leave the broker and to answer.
const minBatches = 4

// Policy decides whether further attempts are worth it. Package eligibility decides whether they are allowed.
type Policy struct {
	minTimeLeft time.Duration
}

// New returns a policy for the shortest time between two decisions.
func New(minBatchInterval time.Duration) Policy {
	return Policy{minTimeLeft: minBatches * minBatchInterval}
}

// Request is what a further attempt could yield.
type Request struct {
	TimeLeft         time.Duration // until the request's deadline
	ObjectiveLeft    time.Duration // of its latency objective; negative: it has passed
	LateAnswerCounts bool          // an answer after the objective earns something
}

// worthless reports whether an answer would no longer earn anything.
func (r Request) worthless() bool { return !r.LateAnswerCounts && r.ObjectiveLeft < 0 }

// EndedAttempt is an attempt that ended without an answer.
type EndedAttempt struct {
	StillRuns           bool // its engine may go on with it, as it can't be cancelled
	EngineEjected       bool
	EngineUnderPressure bool
}

// ShouldRetry reports whether a request is attempted again. While an attempt still runs at an engine under
// pressure, one more would add to the overload.
func (p Policy) ShouldRetry(request Request, ended EndedAttempt) bool {
	addsToOverload := ended.StillRuns && !ended.EngineEjected && ended.EngineUnderPressure
	return request.TimeLeft >= p.minTimeLeft && !request.worthless() && !addsToOverload
}

// ShouldHedge reports whether a further attempt would end in time to earn something, given the longest time that
// it is expected to take.
func (p Policy) ShouldHedge(request Request, longest time.Duration) bool {
	return longest <= request.TimeLeft && !request.worthless()
}
