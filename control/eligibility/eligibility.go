// Package eligibility holds the rules that every attempt must pass when it is sent: first attempts, retries
// and hedged requests alike. Ejection and exhausted capacity of an engine are not among the rules: the
// controller checks them when it selects an engine or dispatches an attempt.
package eligibility

import (
	"slices"
	"time"

	"wheatlane/control/idempotency"
)

// Reason identifies the first rule that an attempt violates. Callers only compare it with Eligible; it is not
// logged.
type Reason int

// The reasons, in the order in which the rules are checked: first the rules that do not depend on the engine.
const (
	Eligible             Reason = iota // no rule is violated
	RequestClosed                      // the request has its final answer, or its client has disconnected
	ResponseStarted                    // the client already receives an answer; only in the simulator
	DeadlinePassed                     // the deadline of the request has passed
	MaxAttempts                        // all attempts of the request are used up
	AttemptInFlight                    // an attempt is in flight and hedging is not allowed
	OrderKeyBusy                       // another request of the key comes first, or the key cools down
	RetryBudgetSpent                   // the retry budget is spent
	EngineNotReady                     // the engine is draining, removed or in maintenance
	DuplicateEffect                    // the effect of the request could happen twice
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

// Request holds the state of a request that the rules depend on.
type Request struct {
	Closed            bool
	ResponseStarted   bool
	TimeLeft          time.Duration // until its deadline
	MaxAttempts       int           // including the first
	Attempts          []idempotency.Attempt
	AttemptInFlight   bool
	HedgingAllowed    bool // two attempts may be in flight at once
	Idempotency       idempotency.Policy
	OrderKeyAvailable bool
	AllowedZones      []string // empty: any zone
	AllowedKinds      []string // empty: any kind of engine
	WithinRetryBudget bool     // a first attempt, or one that the retry budget allows
}

// Engine holds the state of an engine that the rules depend on.
type Engine struct {
	Ready                 bool // listed as ready and not in maintenance
	Location              idempotency.Location
	Kind                  string
	WithinSlowStartBudget bool // not in slow start, or with budget left for the request
}

// Check returns the first rule that an attempt of a request at an engine violates, or Eligible.
func Check(request *Request, engine Engine) Reason {
	if reason := request.Check(); reason != Eligible {
		return reason
	}
	return request.CheckAt(engine)
}

// Check returns the first rule that an attempt of the request violates at every engine, or Eligible.
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

// CheckAt returns the first rule that an attempt of the request violates at this engine, or Eligible. It
// checks only the rules that depend on the engine; Request.Check checks the others.
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

// Exhausted reports whether no further attempt of the request is possible, whatever the state of the engines.
func (r *Request) Exhausted() bool {
	return len(r.Attempts) >= r.MaxAttempts || slices.ContainsFunc(r.Attempts, r.Idempotency.ForbidsRetry)
}

// mayRunAt reports whether the effect of the request happens at most once if it is sent to a location.
func (r *Request) mayRunAt(location idempotency.Location) bool {
	for _, earlier := range r.Attempts {
		if !r.Idempotency.AllowsRetry(earlier, location) {
			return false
		}
	}
	return true
}

// allows reports whether a list of allowed values permits a value. An empty list permits every value.
func allows(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}
