package broker

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/idempotency"
)

// A refused connection or an engine at capacity proves that the query never ran, unless the status is that of a later
// result page: the query has run then.
func TestAttemptEndStatus(t *testing.T) {
	for name, c := range map[string]struct {
		status    control.Status
		firstPage bool // the first page was received before
		want      control.Status
	}{
		"connection refused":     {control.ConnectFailed, false, control.ConnectFailed},
		"at capacity":            {control.AtCapacity, false, control.AtCapacity},
		"at capacity for a page": {control.AtCapacity, true, control.Failed},
		"never sent for a page":  {control.NeverSent, true, control.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			h.submit(1, "lookup", "", 2*time.Second)
			a := h.onlyAttempt()
			if c.firstPage {
				h.apply(firstPage(a, 2, row))
			}
			h.broker.Apply(h.now, AttemptEnded{Attempt: a, Status: c.status})
			if got := h.lastModuleEvent().(control.AttemptEnded).Status; got != c.want {
				t.Fatalf("the decision module is notified of %v, want %v", got, c.want)
			}
		})
	}
}

// When a request is closed for any reason, its unsent attempt is cancelled immediately, before the decision module's
// next batch and even if the settings do not allow the module to cancel attempts.
func TestUnsentAttemptOfClosedRequestIsCancelled(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"killed":        func(h *harness) { h.apply(Kill{RequestedBy: 2, Target: 1}) },
		"disconnected":  func(h *harness) { h.apply(SessionClosed{1}) },
		"timed out":     func(h *harness) { h.run(time.Second) },
		"final answers": func(h *harness) { h.apply(Shutdown{10 * ms}); h.run(10 * ms) },
	} {
		for _, cancellation := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancellation %v", name, cancellation), func(t *testing.T) {
				settings := testSettings()
				settings.Limits.Cancellation = cancellation
				h := newHarnessWithSettings(t, settings, engine1())
				h.submit(1, "lookup", "", time.Second)
				a := h.onlyAttempt()
				end(h)
				if got := effectsOf[CancelIfUnsent](h.effects); len(got) != 1 || got[0].Attempt != a {
					t.Fatalf("cancelled if unsent: %v, want %v only", got, a)
				}
				h.apply(AttemptEnded{Attempt: a, Status: control.NeverSent})
				h.run(2 * time.Second)
				if stored := len(h.broker.requests.byID); stored != 0 || len(h.started()) != 1 {
					t.Fatalf("%d requests are stored, want 0; %d attempts were started, want 1", stored, len(h.started()))
				}
			})
		}
	}
}

// If hedging is disabled, the next attempt of a request starts only after the cancel of the previous attempt, or the
// end of its connection, has reached the engine. Otherwise two engines could run the request at the same time.
func TestNextAttemptWaitsForCancelOfPrevious(t *testing.T) {
	for name, c := range map[string]struct {
		hedging bool
		status  control.Status
		waits   bool
	}{
		"hedging, cancelled":         {true, control.Cancelled, false},
		"hedging, reset":             {true, control.ConnectionReset, false},
		"no hedging, cancelled":      {false, control.Cancelled, true},
		"no hedging, reset":          {false, control.ConnectionReset, true},
		"no hedging, connect failed": {false, control.ConnectFailed, false}, // it never ran
		"no hedging, at capacity":    {false, control.AtCapacity, false},    // it never ran
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Limits.Hedging = c.hedging
			h := newHarnessWithSettings(t, settings, engine1(), engine2())
			h.submit(1, "lookup", "", time.Second)
			h.run(20 * ms)
			h.apply(AttemptEnded{Attempt: h.started()[0].Attempt, Status: c.status})
			endedAt := h.now
			for len(h.started()) < 2 && h.now < endedAt+time.Second {
				h.run(ms)
			}
			if waited := h.now-endedAt >= settleDelay; waited != c.waits {
				t.Errorf("the next attempt started after %v, want a delay of settleDelay: %v", h.now-endedAt, c.waits)
			}
		})
	}
}

// An event in the same batch as the end of an attempt prevents its retry if the request ends or no engine is in
// service.
func TestEventsRacingWithRetry(t *testing.T) {
	for name, c := range map[string]struct {
		event    Event
		attempts int
		replies  []ReplyKind
	}{
		"unrelated event": {ProbeResult{}, 2, nil},
		"disconnected":    {SessionClosed{1}, 1, nil},
		"killed":          {Kill{RequestedBy: 2, Target: 1}, 1, []ReplyKind{ReplyOK, ReplyInterrupted}},
		"engines drain": {
			delta(2, endpoint("e1", addr1, control.Draining), endpoint("e2", addr2, control.Draining)), 1, nil,
		},
		"final answers": {SendFinalAnswers{}, 1, []ReplyKind{ReplyRejected}},
	} {
		for order, eventFirst := range map[string]bool{"event first": true, "end first": false} {
			t.Run(name+", "+order, func(t *testing.T) {
				h := newHarness(t, engine1(), engine2())
				h.submit(1, "lookup", "", 10*time.Second)
				end := AttemptEnded{Attempt: h.onlyAttempt(), Status: control.ConnectFailed}
				if eventFirst {
					h.apply(c.event, end)
				} else {
					h.apply(end, c.event)
				}
				h.run(100 * ms)
				if n := len(h.started()); n != c.attempts {
					t.Errorf("%d attempts, want %d", n, c.attempts)
				}
				h.expectReplies(c.replies...)
			})
		}
	}
}

// mayStart prevents attempts that the decision module must not request, and reports a violation if an attempt could run
// a non-idempotent request twice.
func TestInvariantsPreventAttempts(t *testing.T) {
	end := func(h *harness, status control.Status) { // the decision module is not notified yet
		ended := AttemptEnded{Attempt: h.onlyAttempt(), Status: status}
		h.effects = append(h.effects, h.broker.Apply(h.now, ended)...)
	}
	for name, tt := range map[string]struct {
		prepare func(h *harness)
		starts  int    // total number of attempts
		rule    string // violated rule; empty: none
	}{
		"retry": {func(h *harness) {
			end(h, control.ConnectFailed)
		}, 2, ""},
		"retry after an attempt that may have run": {func(h *harness) {
			end(h, control.ConnectionReset)
		}, 1, "no_unsafe_repeat"},
		"second attempt in flight": {func(*harness) {}, 1, "no_unsafe_repeat"},
		"engine in maintenance": {func(h *harness) {
			end(h, control.ConnectFailed)
			h.broker.endpoints.StartMaintenance("e2")
		}, 1, ""},
		"after the final answers": {func(h *harness) {
			end(h, control.ConnectFailed)
			h.broker.shutdown.finalAnswersSent = true
		}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].Idempotency.Kind = idempotency.NonIdempotent
			h := newHarnessWithSettings(t, settings, engine1(), engine2())
			h.submit(1, "lookup", "", time.Minute)
			h.run(20 * ms)
			tt.prepare(h)
			id := h.broker.requests.openRequests()[0].moduleID
			h.broker.startAttempt(h.now, control.SendAttempt{RequestID: id, Engine: "e2"})
			h.effects = append(h.effects, h.broker.flushEffects()...)
			if n := len(h.started()); n != tt.starts {
				t.Errorf("%d attempts were started, want %d", n, tt.starts)
			}
			rule := ""
			for _, v := range effectsOf[InvariantViolation](h.effects) {
				rule += v.Rule.String()
			}
			if rule != tt.rule {
				t.Errorf("violated rules %q, want %q", rule, tt.rule)
			}
		})
	}
}
