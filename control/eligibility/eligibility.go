// Package eligibility holds the rules that every attempt must pass, at the time at which it is sent: first
// attempts, retries and hedged requests alike.
package eligibility

import (
	"slices"
	"time"

	"wheatlane/control/idempotency"
)

// Reason is the first rule that an attempt breaks.
type Reason int

// The reasons, in the order in which the rules are checked.
const (
	Eligible           Reason = iota // no rule is broken
	RequestClosed                    // the request has its final answer, or its client is gone
	ResponseStarted                  // the client receives an answer already
	DeadlinePassed                   // the answer would come too late
	MaxAttempts                      // the request has had all its attempts
	AttemptInFlight                  // hedging is not allowed
	DuplicateEffect                  // the effect of the request could come twice
	EngineNotReady                   // the engine is draining, removed or in maintenance
	SlowStartBudget                  // the engine is in slow start and its budget is spent
	OrderKeyBusy                     // another request of its key comes first, or the key cools down
	PlacementForbidden               // the class may not run in the engine's zone or on its kind
	RetryBudget                      // the retry budget is spent
)

var reasonNames = [...]string{
	Eligible: "eligible", RequestClosed: "request closed", ResponseStarted: "response started",
	DeadlinePassed: "deadline passed", MaxAttempts: "max attempts", AttemptInFlight: "attempt in flight",
	DuplicateEffect: "duplicate effect", EngineNotReady: "engine not ready",
	SlowStartBudget: "slow-start budget", OrderKeyBusy: "order key busy",
	PlacementForbidden: "placement forbidden", RetryBudget: "retry budget",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Request is what the rules need to know of a request.
type Request struct {
	Closed          bool
	ResponseStarted bool
	TimeLeft        time.Duration // until its deadline
	MaxAttempts     int           // the first included
	Attempts        []idempotency.Attempt
	AttemptInFlight bool
	HedgingAllowed  bool // two attempts may be in flight at once
	Idempotency     idempotency.Policy
	TurnOfOrderKey  bool
	AllowedZones    []string // empty: any zone
	AllowedKinds    []string // empty: any kind of engine
	WithinBudget    bool     // a first attempt, or one that the retry budget allows
}

// Engine is what the rules need to know of an engine.
type Engine struct {
	Ready           bool // listed as ready and not in maintenance
	Location        idempotency.Location
	Kind            string
	SlowStartBudget bool // not in slow start, or with budget left for the request
}

// Check returns the first rule that an attempt of a request at an engine breaks, or Eligible.
func Check(request *Request, engine Engine) Reason {
	switch {
	case request.Closed:
		return RequestClosed
	case request.ResponseStarted:
		return ResponseStarted
	case request.TimeLeft <= 0:
		return DeadlinePassed
	case len(request.Attempts) >= request.MaxAttempts:
		return MaxAttempts
	case request.AttemptInFlight && !request.HedgingAllowed:
		return AttemptInFlight
	case !request.mayRunAt(engine.Location):
		return DuplicateEffect
	case !engine.Ready:
		return EngineNotReady
	case !engine.SlowStartBudget:
		return SlowStartBudget
	case !request.TurnOfOrderKey:
		return OrderKeyBusy
	case !request.mayBePlacedOn(engine):
		return PlacementForbidden
	case !request.WithinBudget:
		return RetryBudget
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

// mayBePlacedOn reports whether the request may run in an engine's zone and on its kind.
func (r *Request) mayBePlacedOn(engine Engine) bool {
	return allows(r.AllowedZones, engine.Location.Zone) && allows(r.AllowedKinds, engine.Kind)
}

// allows reports whether a list that allows everything if it is empty allows a value.
func allows(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}
