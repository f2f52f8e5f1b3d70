package broker

import (
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
)

// shutdownSettings returns settings with a class for each kind of idempotency, and without retries.
func shutdownSettings() control.Settings {
	settings := testSettings()
	settings.Limits.MaxAttempts = 1
	settings.Classes = append(settings.Classes,
		control.Class{
			Name: "once", LatencyObjective: time.Second, PriorityWeight: 1, Threads: 1,
			Idempotency: idempotency.Policy{Kind: idempotency.NonIdempotent},
		},
		control.Class{
			Name: "zone", LatencyObjective: time.Second, PriorityWeight: 1, Threads: 1,
			Idempotency: idempotency.Policy{
				Kind: idempotency.IdempotentWithKey, DedupScope: idempotency.ScopeZone, DedupWindow: time.Second,
			},
		})
	return settings
}

// The final answer to a request depends on its idempotency and on whether it may have run: a rejection would make
// clients retry a non-idempotent request that has run. Later requests are rejected immediately and never started.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		ended   control.Status // status of its ended attempt; OK: the attempt is in flight
		started bool
		want    ReplyKind
	}{
		"idempotent, in flight":               {"lookup", control.OK, true, ReplyRejected},
		"key deduplicated by all, in flight":  {"load", control.OK, true, ReplyRejected},
		"key deduplicated in zone, in flight": {"zone", control.OK, true, ReplyFailed},
		"non-idempotent, in flight":           {"once", control.OK, true, ReplyFailed},
		"non-idempotent, reset":               {"once", control.ConnectionReset, true, ReplyFailed},
		"non-idempotent, never started":       {"once", control.OK, false, ReplyRejected},
		"non-idempotent, never sent":          {"once", control.NeverSent, true, ReplyRejected},
	} {
		t.Run(name, func(t *testing.T) {
			engine := engine1()
			if !c.started {
				engine.State = control.Draining
			}
			h := newHarnessWithSettings(t, shutdownSettings(), engine)
			h.submit(1, c.class, "", 10*time.Second)
			h.run(10 * ms)
			if n := len(h.started()); n > 0 != c.started {
				t.Fatalf("%d attempts were started, want any: %v", n, c.started)
			}
			if c.ended != control.OK { // before the decision module is notified
				h.broker.Apply(h.now, AttemptEnded{Attempt: h.onlyAttempt(), Status: c.ended})
			}
			h.effects = h.broker.Apply(h.now, Shutdown{0})
			h.apply()
			h.expectReplies(c.want)
			h.submit(2, c.class, "", 10*time.Second)
			h.run(time.Second)
			h.expectReplies(c.want, ReplyRejected)
			if len(h.started()) > 0 || h.broker.OpenRequests() != 0 {
				t.Fatal("a request sent after the final answers was accepted")
			}
		})
	}
}

// A request that waits for its order key when final answers are sent was never started: it is rejected, and is not
// started when the previous request of the key ends.
func TestFinalAnswersIncludeRequestsWaitingForOrderKey(t *testing.T) {
	h := newHarness(t, engine1())
	h.submit(1, "load", "k", 10*time.Second)
	h.submit(2, "load", "k", 10*time.Second)
	h.run(100 * ms)
	first := h.onlyAttempt()
	h.apply(Shutdown{50 * ms})
	h.run(60 * ms)
	h.expectReplies(ReplyRejected, ReplyRejected) // all engines deduplicate the key of the first
	h.apply(AttemptEnded{Attempt: first, Status: control.Cancelled})
	h.run(time.Second)
	if len(h.started()) != 1 || h.broker.OpenRequests() != 0 {
		t.Fatal("the second request was started after its answer")
	}
}
