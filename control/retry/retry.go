// Package retry decides whether a further attempt of a request is worth its cost: a retry after an attempt
// that ended without an answer, or a hedge of an attempt whose answer is overdue.
package retry

import "time"

// minBatches is the minimum number of batch intervals that a retry needs to leave the broker and be answered.
const minBatches = 4

// Policy decides whether further attempts are worth their cost. Package eligibility decides whether they are
// allowed.
type Policy struct {
	minTimeLeft time.Duration
}

// New returns a policy, given the shortest time between two decisions.
func New(minBatchInterval time.Duration) Policy {
	return Policy{minTimeLeft: minBatches * minBatchInterval}
}

// Request describes the request that a further attempt would serve.
type Request struct {
	TimeLeft         time.Duration // until the request's deadline
	ObjectiveLeft    time.Duration // until its latency objective; negative: it has passed
	LateAnswerCounts bool          // an answer after the objective has a value
}

// worthless reports whether an answer would no longer have a value.
func (r Request) worthless() bool { return !r.LateAnswerCounts && r.ObjectiveLeft < 0 }

// EndedAttempt describes an attempt that ended without an answer.
type EndedAttempt struct {
	StillRuns           bool // the engine may still run it, as it can't be cancelled
	EngineEjected       bool
	EngineUnderPressure bool
}

// ShouldRetry reports whether a request should be retried after an attempt ended. While that attempt still
// runs at an engine under pressure, another attempt would add to the overload.
func (p Policy) ShouldRetry(request Request, ended EndedAttempt) bool {
	addsToOverload := ended.StillRuns && !ended.EngineEjected && ended.EngineUnderPressure
	return request.TimeLeft >= p.minTimeLeft && !request.worthless() && !addsToOverload
}

// ShouldHedge reports whether a hedged request would end early enough for its answer to have a value, given
// the longest time that it is expected to take.
func (p Policy) ShouldHedge(request Request, longest time.Duration) bool {
	return longest <= request.TimeLeft && !request.worthless()
}
