// Package invariant holds the rules of the protocol that a broker checks on itself while it runs. A guard is given what
// is known as an attempt starts or is repeated, and returns the rule that would be broken. The package does no I/O,
// reads no clock and keeps no state: the caller prevents, counts and logs.
package invariant

import "time"

// Rule is a rule that must hold whatever happens.
type Rule int

// The rules.
const (
	// NoStartAfterEnd: no attempt starts for a request that has ended, or after the final answers.
	NoStartAfterEnd Rule = iota
	// NoUnsafeRepeat: a request that must not run twice has one attempt that may have run at most.
	NoUnsafeRepeat
	// NoParallelAttempts: without hedging, a request has one attempt in flight at most.
	NoParallelAttempts
	// NoSendToUnready: no attempt starts at an endpoint that drains, was removed or is in maintenance.
	NoSendToUnready
	// TimeoutWithinClient: the timeout passed to an engine is at most what the client has left.
	TimeoutWithinClient
	// AnswerBeforeClose: a session is not closed from this side with a request read and unanswered.
	AnswerBeforeClose
	// NoReadAfterShutdown: nothing is read from a connection once this side of it was shut down.
	NoReadAfterShutdown
	// TimeIsMonotonic: the time of the reducer does not go back, and does not jump with the wall clock.
	TimeIsMonotonic
	ruleCount
)

// RuleNames are the names of the rules in logs and figures, by their numbers.
var RuleNames = [ruleCount]string{
	NoStartAfterEnd:     "no_start_after_end",
	NoUnsafeRepeat:      "no_unsafe_repeat",
	NoParallelAttempts:  "no_parallel_attempts",
	NoSendToUnready:     "no_send_to_unready",
	TimeoutWithinClient: "timeout_within_client",
	AnswerBeforeClose:   "answer_before_close",
	NoReadAfterShutdown: "no_read_after_shutdown",
	TimeIsMonotonic:     "time_is_monotonic",
}

// String returns the name of the rule.
func (r Rule) String() string { return RuleNames[r] }

// TimeoutSlack is how much longer than the client's remaining time the timeout passed to an engine may be.
const TimeoutSlack = 150 * time.Millisecond

// AttemptStart is what is known as an attempt is about to start.
type AttemptStart struct {
	RequestEnded      bool // the request was answered, or its client has left
	FinalAnswersSent  bool // all requests have their final answer, as the broker shuts down
	EndpointInService bool // the endpoint list has the engine in service, and it is not in maintenance
}

// ViolatedRule returns the rule that the start would break.
func (s AttemptStart) ViolatedRule() (Rule, bool) {
	switch {
	case s.RequestEnded || s.FinalAnswersSent:
		return NoStartAfterEnd, true
	case !s.EndpointInService:
		return NoSendToUnready, true
	}
	return 0, false
}

// AttemptRepeat is what is known of the attempts of a request as a further one is about to start.
type AttemptRepeat struct {
	NonIdempotent bool // the request must not run twice
	Hedging       bool // the deployment allows two attempts in flight
	InFlight      bool // an earlier attempt is in flight
	MayHaveRun    bool // an earlier attempt may have run, or may run still
}

// ViolatedRule returns the rule that the further attempt would break.
func (r AttemptRepeat) ViolatedRule() (Rule, bool) {
	switch {
	case r.NonIdempotent && (r.InFlight || r.MayHaveRun):
		return NoUnsafeRepeat, true
	case r.InFlight && !r.Hedging:
		return NoParallelAttempts, true
	}
	return 0, false
}
