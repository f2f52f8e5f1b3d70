// Package eligibility holds the rules that every attempt must pass, at the time at which it is sent: first
// attempts, retries and hedged requests alike. Whether an engine is ejected or at capacity is no rule: the
// controller checks that when it selects or dispatches.
package eligibility

import (
	"slices"
	"time"

	"wheatlane/control/idempotency"
)

// Reason is the first rule that an attempt breaks. Callers only compare it with Eligible; it is not logged.
type Reason int

// The reasons, in the order in which the rules are checked: first those that hold at every engine.
const (
	Eligible             Reason = iota // no rule is broken
	RequestClosed                      // the request has its final answer, or its client is gone
	ResponseStarted                    // the client receives an answer already; only in the simulator
	DeadlinePassed                     // the answer would come too late
	MaxAttempts                        // the request has had all its attempts
	AttemptInFlight                    // hedging is not allowed
	OrderKeyBusy                       // another request of its key comes first, or the key cools down
	RetryBudgetSpent                   // the retry budget is spent
	EngineNotReady                     // the engine is draining, removed or in maintenance
	DuplicateEffect                    // the effect of the request could come twice
	SlowStartBudgetSpent               // the engine is in slow start and its budget is spent
	PlacementForbidden                 // the class may not run in the engine's zone or on its kind
)

var reasonNames = [...]string{
	Eligible: "eligible", RequestClosed: "request closed", ResponseStarted: "response started",
	DeadlinePassed: "deadline passed", MaxAttempts: "max attempts", AttemptInFlight: "attempt in flight",
	OrderKeyBusy: "order key busy", RetryBudgetSpent: "retry budget", EngineNotReady: "engine not ready",
	DuplicateEffect: "duplicate effect", SlowStartBudgetSpent: "slow-start budget",
	PlacementForbidden: "placement forbidden",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Request is what the rules need to know of a request.
type Request struct {
	Closed            bool
	ResponseStarted   bool
	TimeLeft          time.Duration // until its deadline
	MaxAttempts       int           // the first included
	Attempts          []idempotency.Attempt
	AttemptInFlight   bool
	HedgingAllowed    bool // two attempts may be in flight at once
	Idempotency       idempotency.Policy
	OrderKeyAvailable bool
	AllowedZones      []string // empty: any zone
	AllowedKinds      []string // empty: any kind of engine
	WithinRetryBudget bool     // a first attempt, or one that the retry budget allows
}

// Engine is what the rules need to know of an engine.
type Engine struct {
	Ready                 bool // listed as ready and not in maintenance
	Location              idempotency.Location
	Kind                  string
	WithinSlowStartBudget bool // not in slow start, or with budget left for the request
}

// Check returns the first rule that an attempt of a request at an engine breaks, or Eligible.
func Check(request *Request, engine Engine) Reason {
	if reason := request.Check(); reason != Eligible {
		return reason
	}
	return request.CheckAt(engine)
}

// Check returns the first rule that an attempt of the request breaks at every engine, or Eligible.
func (r *Request) Check() Reason {
	switch {
	case r.Closed:
		return RequestClosed
	case r.ResponseStarted:
		return ResponseStarted
	case r.TimeLeft <= 0:
		return DeadlinePassed
	case len(r.Attempts) >= r.MaxAttempts:
		return MaxAttempts
	case r.AttemptInFlight && !r.HedgingAllowed:
		return AttemptInFlight
	case !r.OrderKeyAvailable:
		return OrderKeyBusy
	case !r.WithinRetryBudget:
		return RetryBudgetSpent
	}
	return Eligible
}

// CheckAt returns the first rule that an attempt of the request breaks at this engine, given that it breaks
// none that holds at every engine, or Eligible.
func (r *Request) CheckAt(engine Engine) Reason {
	switch {
	case !engine.Ready:
		return EngineNotReady
	case !r.mayRunAt(engine.Location):
		return DuplicateEffect
	case !engine.WithinSlowStartBudget:
		return SlowStartBudgetSpent
	case !allows(r.AllowedZones, engine.Location.Zone), !allows(r.AllowedKinds, engine.Kind):
		return PlacementForbidden
	}
	return Eligible
}

// Exhausted reports whether a request can have no further attempt, whatever becomes of the engines.
func (r *Request) Exhausted() bool {
	return len(r.Attempts) >= r.MaxAttempts || slices.ContainsFunc(r.Attempts, r.Idempotency.ForbidsRetry)
}

// mayRunAt reports whether the effect of the request happens once at most if it is sent to a location.
func (r *Request) mayRunAt(location idempotency.Location) bool {
	for _, earlier := range r.Attempts {
		if !r.Idempotency.AllowsRetry(earlier, location) {
			return false
		}
	}
	return true
}

// allows reports whether a list that allows everything if it is empty allows a value.
func allows(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}
