package broker

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
)

// A session's commands are answered in their order, also those that come ahead of an answer.
func TestSessionAnswersInOrder(t *testing.T) {
	h := newHarness(t, engine1())
	h.apply(Ping{1})
	h.submit(1, "lookup", "", time.Second)
	h.apply(Ping{1}, SubmitRequest{1, Request{Class: "nonsense"}})
	h.expectReplies(ReplyOK)
	h.apply(firstPage(h.onlyAttempt(), 1, nil))
	h.expectReplies(ReplyOK, ReplyResult, ReplyOK, ReplyInvalidFields)
	unknown := Kill{RequestedBy: 1, Target: 77}
	h.apply(SubmitRequest{1, Request{Class: "load"}}, unknown, Shutdown{time.Second}, Ping{1})
	h.expectReplies(ReplyOK, ReplyResult, ReplyOK, ReplyInvalidFields, ReplyInvalidFields, ReplyUnknownSession,
		ReplyNotReady)
	if len(effectsOf[CloseSession](h.effects)) > 0 {
		t.Fatal("the session was closed")
	}
	h.submit(2, "lookup", "", time.Second)
	for range maxQueuedCommands + 1 { // bounded, as is the memory for them
		h.apply(Ping{2})
	}
	if len(effectsOf[CloseSession](h.effects)) != 1 {
		t.Fatal("a session with too many queued commands was not closed")
	}
}

func TestNotReadyWithoutEngines(t *testing.T) {
	h := newHarness(t, endpoint("e1", addr1, control.Draining))
	h.apply(Ping{1})
	h.expectReplies(ReplyNotReady)
}

// A query and its KILL come on two connections, and may be read in the other order. What was sent before the
// KILL is answered as killed and never started; what was sent after it is a new request.
func TestKillReadBeforeItsQuery(t *testing.T) {
	for name, c := range map[string]struct {
		sentAfter time.Duration // the KILL was written
		attempts  int
		replies   []ReplyKind
	}{
		"sent before": {-3 * ms, 0, []ReplyKind{ReplyOK, ReplyInterrupted}},
		"sent after":  {3 * ms, 1, []ReplyKind{ReplyOK}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			request := Request{RequestID: "a", Class: "lookup", SentAt: h.now + c.sentAfter, Timeout: time.Second}
			h.apply(Kill{RequestedBy: 2, Target: 1, SentAt: h.now}, SubmitRequest{1, request})
			h.run(20 * ms)
			h.expectReplies(c.replies...)
			if n := len(h.started()); n != c.attempts {
				t.Fatalf("%d attempts, want %d", n, c.attempts)
			}
			if open := h.broker.OpenRequests(); open != c.attempts {
				t.Fatalf("%d requests are open", open)
			}
			// What the client sends on a new connection is served.
			h.apply(SessionClosed{1}, SessionOpened{1}, SessionAuthenticated{1})
			h.submit(1, "lookup", "", time.Second)
			h.run(20 * ms)
			if n := len(h.started()); n != c.attempts+1 {
				t.Fatal("the next request was not started")
			}
		})
	}
}

// A KILL also ends the requests that the session has queued: its client has left, and none of them is
// started.
func TestKillEndsQueuedRequests(t *testing.T) {
	h := newHarness(t, engine1())
	request := func(id string) Event {
		return SubmitRequest{1, Request{RequestID: id, Class: "lookup", SentAt: h.now - ms, Timeout: time.Second}}
	}
	h.apply(request("a"), request("b"))
	h.run(20 * ms)
	h.apply(Kill{RequestedBy: 2, Target: 1, SentAt: h.now})
	h.run(20 * ms)
	h.expectReplies(ReplyOK, ReplyInterrupted, ReplyInterrupted)
	if started := h.started(); len(started) != 1 || started[0].RequestID != "a" {
		t.Fatalf("started: %v", started)
	}
}

// A request may be answered in the batch that also starts an attempt of another one, and a KILL of that other
// be queued behind the answer. Whenever they meet, the module is notified of the end of each attempt: one
// without an end would take up its engine's concurrency limit for ever.
func TestQueuedKillOfARequestStartedInTheSameBatch(t *testing.T) {
	for offset := range 40 {
		t.Run(fmt.Sprint(offset, " ms"), func(t *testing.T) {
			h := newHarness(t, engine1())
			h.submit(1, "lookup", "", 40*ms)
			h.apply(Kill{RequestedBy: 1, Target: 2, SentAt: h.now + time.Second})
			h.run(time.Duration(offset) * ms)
			request := Request{RequestID: "b", Class: "lookup", SentAt: h.now, Timeout: time.Second}
			h.broker.Apply(h.now, SubmitRequest{2, request})
			h.run(100 * ms)
			for _, start := range h.started() {
				h.apply(AttemptEnded{Attempt: start.Attempt, Status: control.Cancelled})
			}
			h.run(2 * time.Second)
			var view control.View
			h.broker.View(&view)
			threads, kept := view.Engines[0].ThreadsInFlight, len(h.broker.requests.byID)
			if threads != 0 || kept != 0 || h.broker.OpenRequests() != 0 {
				t.Errorf("%d threads are in flight and %d requests are kept", threads, kept)
			}
		})
	}
}
