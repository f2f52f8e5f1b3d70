package control

import (
	"testing"
	"time"

	"wheatlane/control/idempotency"
)

// mayAttempt enforces each rule on every send, independently of the checks of its callers.
func TestMayAttemptEnforcesEachRule(t *testing.T) {
	for name, violate := range map[string]func(*Controller, *request, *engine){
		"no rule is violated":      nil,
		"the request is closed":    func(_ *Controller, r *request, _ *engine) { r.closed = true },
		"the response has started": func(_ *Controller, r *request, _ *engine) { r.responseStarted = true },
		"the deadline has passed":  func(c *Controller, r *request, _ *engine) { c.now = r.Deadline },
		"no attempts are left":     func(c *Controller, _ *request, _ *engine) { c.settings.Limits.MaxAttempts = 1 },
		"the engine is not listed": func(_ *Controller, _ *request, e *engine) { e.member.Unlist() },
		"the engine is draining":   func(_ *Controller, _ *request, e *engine) { e.member.Update(Draining) },
		"the zone is not allowed":  func(_ *Controller, r *request, _ *engine) { r.class.AllowedZones = []string{"b"} },
		"the kind is not allowed":  func(_ *Controller, r *request, _ *engine) { r.class.AllowedKinds = []string{"big"} },
		"the request could run twice": func(_ *Controller, r *request, _ *engine) {
			r.class.Idempotency.Kind = idempotency.NonIdempotent
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(Settings{
				Brokers: 1, Classes: []Class{{Name: "quick", LatencyObjective: time.Second}},
				EngineKinds: map[string]EngineKind{"std": {Cores: 8}}, Limits: Limits{MaxAttempts: 2},
			}, 1)
			if err != nil {
				t.Fatal(err)
			}
			e := c.newEngine(Engine{ID: "e"}, EngineKind{Cores: 8})
			e.Zone, e.Kind = "a", "std"
			e.member.Update(Ready)
			r := newRequest(Request{ID: "r", Deadline: time.Minute}, c.classes.all[0], 0, c.now)
			r.addAttempt(e, c.now).inFlight = false
			if violate != nil {
				violate(c, r, e)
			}
			if got, want := c.mayAttempt(r, e), violate == nil; got != want {
				t.Fatalf("mayAttempt is %v, want %v", got, want)
			}
		})
	}
}
