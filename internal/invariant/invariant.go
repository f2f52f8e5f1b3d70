// Package invariant defines the protocol rules that a broker verifies at run time. AttemptStart and AttemptRepeat
// evaluate whether an attempt may start and return the rule that it would violate. The package performs no I/O, reads
// no clock and has no state: the caller prevents, counts and logs violations.
package invariant

import "time"

// Rule is a rule that must always hold.
type Rule int

// The rules.
const (
	// NoStartAfterEnd: no attempt starts for a request that has ended, or once final answers were sent at shutdown.
	NoStartAfterEnd Rule = iota
	// NoUnsafeRepeat: a non-idempotent request has at most one attempt that may have run.
	NoUnsafeRepeat
	// NoParallelAttempts: without hedging, a request has at most one attempt in flight.
	NoParallelAttempts
	// NoSendToUnready: no attempt starts at an endpoint that is draining, removed or in maintenance mode.
	NoSendToUnready
	// TimeoutWithinClient: the timeout passed to an engine exceeds the client's remaining timeout by at most
	// TimeoutSlack.
	TimeoutWithinClient
	// AnswerBeforeClose: the broker does not close a session that has a request read but not answered.
	AnswerBeforeClose
	// NoReadAfterShutdown: the broker reads nothing from a connection whose write side it has shut down.
	NoReadAfterShutdown
	// TimeIsMonotonic: the reducer's time neither goes back nor follows steps of the wall clock.
	TimeIsMonotonic
	// AccountsCoverHeap: what a broker holds is counted by its accounts, but for a part of its memory limit.
	AccountsCoverHeap
	ruleCount
)

// RuleNames holds the name of each rule in logs and metrics, indexed by Rule.
var RuleNames = [ruleCount]string{
	NoStartAfterEnd:     "no_start_after_end",
	NoUnsafeRepeat:      "no_unsafe_repeat",
	NoParallelAttempts:  "no_parallel_attempts",
	NoSendToUnready:     "no_send_to_unready",
	TimeoutWithinClient: "timeout_within_client",
	AnswerBeforeClose:   "answer_before_close",
	NoReadAfterShutdown: "no_read_after_shutdown",
	TimeIsMonotonic:     "time_is_monotonic",
	AccountsCoverHeap:   "accounts_cover_heap",
}

// String returns the name of the rule.
func (r Rule) String() string { return RuleNames[r] }

// TimeoutSlack is the time by which the timeout passed to an engine may exceed the client's remaining timeout.
const TimeoutSlack = 150 * time.Millisecond

// AttemptStart holds the state that the rules for starting an attempt depend on.
type AttemptStart struct {
	RequestEnded      bool // the request was answered or abandoned
	FinalAnswersSent  bool // the broker is shutting down and has answered all requests
	EndpointInService bool // the engine is listed as ready and not in maintenance mode
}

// ViolatedRule returns the rule that starting the attempt would violate; false if there is none.
func (s AttemptStart) ViolatedRule() (Rule, bool) {
	switch {
	case s.RequestEnded || s.FinalAnswersSent:
		return NoStartAfterEnd, true
	case !s.EndpointInService:
		return NoSendToUnready, true
	}
	return 0, false
}

// AttemptRepeat holds the state that the rules for retries and hedged requests depend on.
type AttemptRepeat struct {
	NonIdempotent bool // the request must not run twice
	Hedging       bool // the deployment allows two attempts in flight
	InFlight      bool // an earlier attempt is in flight
	MayHaveRun    bool // an earlier attempt may have run or may still be running
}

// ViolatedRule returns the rule that another attempt would violate; false if there is none.
func (r AttemptRepeat) ViolatedRule() (Rule, bool) {
	switch {
	case r.NonIdempotent && (r.InFlight || r.MayHaveRun):
		return NoUnsafeRepeat, true
	case r.InFlight && !r.Hedging:
		return NoParallelAttempts, true
	}
	return 0, false
}
