package broker

import (
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
)

// shutdownSettings have a class for each kind of idempotency, and no retries.
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
				Kind: idempotency.WithKey, DedupScope: idempotency.ScopeZone, DedupWindow: time.Second,
			},
		})
	return settings
}

// The final answer of a request depends on whether it may have run and its idempotency. Later requests are
// rejected at once and never started.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		ended   control.Status // how its attempt ended; OK: it is in flight
		started bool
		want    ReplyKind
	}{
		"idempotent, in flight":               {"lookup", control.OK, true, ReplyRejected},
		"with a key for all, in flight":       {"load", control.OK, true, ReplyRejected},
		"with a key for a zone, in flight":    {"zone", control.OK, true, ReplyFailed},
		"non-idempotent, in flight":           {"once", control.OK, true, ReplyFailed},
		"non-idempotent, reset":               {"once", control.ConnectionReset, true, ReplyFailed},
		"non-idempotent, never started":       {"once", control.OK, false, ReplyRejected},
		"non-idempotent, certainly never ran": {"once", control.NeverSent, true, ReplyRejected},
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
				t.Fatalf("%d attempts", n)
			}
			if c.ended != control.OK { // and the module is not notified of it yet
				h.broker.Apply(h.now, AttemptEnded{Attempt: h.onlyAttempt(), Status: c.ended})
			}
			h.effects = h.broker.Apply(h.now, Shutdown{0})
			h.apply()
			h.expectReplies(c.want)
			h.submit(2, c.class, "", 10*time.Second)
			h.run(time.Second)
			h.expectReplies(c.want, ReplyRejected)
			if len(h.started()) > 0 || h.broker.OpenRequests() != 0 {
				t.Fatal("what came after the final answers was accepted")
			}
		})
	}
}

// A request that waits for its order key at the final answers was never started: it is rejected, and is not
// started when the one before it ends.
func TestFinalAnswersIncludeRequestsWaitingForOrderKey(t *testing.T) {
	h := newHarness(t, engine1())
	h.submit(1, "load", "k", 10*time.Second)
	h.submit(2, "load", "k", 10*time.Second)
	h.run(100 * ms)
	first := h.onlyAttempt()
	h.apply(Shutdown{50 * ms})
	h.run(60 * ms)
	h.expectReplies(ReplyRejected, ReplyRejected) // the first has a key for all engines
	h.apply(AttemptEnded{Attempt: first, Status: control.Cancelled})
	h.run(time.Second)
	if len(h.started()) != 1 || h.broker.OpenRequests() != 0 {
		t.Fatal("the second was started after its answer")
	}
}
