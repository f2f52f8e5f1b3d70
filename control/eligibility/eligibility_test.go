package eligibility

import (
	"testing"
	"time"

	"wheatlane/control/idempotency"
)

// eligibleRetry returns a request and an engine for a retry that passes all rules.
func eligibleRetry() (Request, Engine) {
	request := Request{
		TimeLeft: time.Second, MaxAttempts: 2, OrderKeyAvailable: true, WithinRetryBudget: true,
		Attempts:     []idempotency.Attempt{{MayHaveRun: true}},
		AllowedZones: []string{"a"}, AllowedKinds: []string{"std"},
	}
	engine := Engine{
		Ready: true, Location: idempotency.Location{Zone: "a"}, Kind: "std",
		WithinSlowStartBudget: true,
	}
	return request, engine
}

func TestEachRuleIsChecked(t *testing.T) {
	t.Parallel()
	for want, violate := range map[Reason]func(*Request, *Engine){
		Eligible:             func(*Request, *Engine) {},
		RequestClosed:        func(r *Request, _ *Engine) { r.Closed = true },
		ResponseStarted:      func(r *Request, _ *Engine) { r.ResponseStarted = true },
		DeadlinePassed:       func(r *Request, _ *Engine) { r.TimeLeft = 0 },
		MaxAttempts:          func(r *Request, _ *Engine) { r.MaxAttempts = 1 },
		AttemptInFlight:      func(r *Request, _ *Engine) { r.AttemptInFlight = true },
		DuplicateEffect:      func(r *Request, _ *Engine) { r.Idempotency.Kind = idempotency.NonIdempotent },
		EngineNotReady:       func(_ *Request, e *Engine) { e.Ready = false },
		SlowStartBudgetSpent: func(_ *Request, e *Engine) { e.WithinSlowStartBudget = false },
		OrderKeyBusy:         func(r *Request, _ *Engine) { r.OrderKeyAvailable = false },
		PlacementForbidden:   func(r *Request, _ *Engine) { r.AllowedZones = []string{"b"} },
		RetryBudgetSpent:     func(r *Request, _ *Engine) { r.WithinRetryBudget = false },
	} {
		t.Run(want.String(), func(t *testing.T) {
			t.Parallel()
			request, engine := eligibleRetry()
			violate(&request, &engine)
			if got := Check(&request, engine); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
	t.Run("forbidden kind", func(t *testing.T) {
		t.Parallel()
		request, engine := eligibleRetry()
		engine.Kind = "big"
		if got := Check(&request, engine); got != PlacementForbidden {
			t.Errorf("got %q, want %q", got, PlacementForbidden)
		}
	})
	t.Run("hedging allowed", func(t *testing.T) {
		t.Parallel()
		request, engine := eligibleRetry()
		request.AttemptInFlight, request.HedgingAllowed = true, true
		if got := Check(&request, engine); got != Eligible {
			t.Errorf("got %q with hedging allowed, want eligible", got)
		}
	})
	t.Run("any zone and kind", func(t *testing.T) {
		t.Parallel()
		request, engine := eligibleRetry()
		request.AllowedZones, request.AllowedKinds = nil, nil
		engine.Location.Zone, engine.Kind = "b", "big"
		if got := Check(&request, engine); got != Eligible {
			t.Errorf("got %q with every zone and kind allowed, want eligible", got)
		}
	})
}

func TestExhausted(t *testing.T) {
	t.Parallel()
	request, _ := eligibleRetry()
	if request.Exhausted() {
		t.Error("got exhausted with an attempt left")
	}
	request.Idempotency.Kind = idempotency.NonIdempotent
	if !request.Exhausted() {
		t.Error("got not exhausted for a non-idempotent request whose attempt may have run")
	}
	request.Idempotency.Kind, request.MaxAttempts = idempotency.Idempotent, 1
	if !request.Exhausted() {
		t.Error("got not exhausted with all attempts used")
	}
}
