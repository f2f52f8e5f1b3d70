package broker

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// A query and the word that kills it come on two connections, and may be read in the other order. What was asked
// before the word is answered as killed and never sent; what was asked after it is a new request.
func TestKillReadBeforeItsQuery(t *testing.T) {
	for name, c := range map[string]struct {
		asked time.Duration // after the word was written
		wants int
		kinds []ReplyKind
	}{
		"asked before": {-3 * ms, 0, []ReplyKind{ReplyOK, ReplyInterrupted}},
		"asked after":  {3 * ms, 1, []ReplyKind{ReplyOK}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
			r.apply(Kill{RequestedBy: 2, Target: 1, SentAt: r.now},
				SubmitRequest{1, Request{RequestID: "a", Class: "lookup", SentAt: r.now + c.asked, Timeout: time.Second}})
			r.run(20 * ms)
			r.expectReplies(c.kinds...)
			if got := len(effectsOf[StartAttempt](r.effects)); got != c.wants {
				t.Fatalf("%d attempts, want %d", got, c.wants)
			}
			if open := r.broker.OpenRequests(); open != c.wants {
				t.Fatalf("%d requests are owed an answer", open)
			}
			// The session goes on: what its client asks now is served.
			r.apply(SessionClosed{1}, SessionOpened{1}, SessionAuthenticated{1})
			r.submit(1, "lookup", "", time.Second)
			r.run(20 * ms)
			if got := len(effectsOf[StartAttempt](r.effects)); got != c.wants+1 {
				t.Fatal("nothing more is sent on")
			}
		})
	}
}

// What a killed session had asked ahead of an answer is killed as well: its client has left, and nothing of it is sent.
func TestKillEndsQueuedRequests(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
	request := func(ref string) Event {
		return SubmitRequest{1, Request{RequestID: ref, Class: "lookup", SentAt: r.now - ms, Timeout: time.Second}}
	}
	r.apply(request("a"), request("b"))
	r.run(20 * ms)
	r.apply(Kill{RequestedBy: 2, Target: 1, SentAt: r.now})
	r.run(20 * ms)
	r.expectReplies(ReplyOK, ReplyInterrupted, ReplyInterrupted)
	if wants := effectsOf[StartAttempt](r.effects); len(wants) != 1 || wants[0].RequestID != "a" {
		t.Fatalf("sent on: %v", wants)
	}
}

// However a request ends while an attempt of it is out, what has not left of that is taken back at once, ahead of the
// module's next round and where the module may not cancel.
func TestClosedRequestIsWithdrawn(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"killed":       func(r *harness) { r.apply(Kill{RequestedBy: 2, Target: 1}) },
		"client left":  func(r *harness) { r.apply(SessionClosed{1}) },
		"time is up":   func(r *harness) { r.run(time.Second) },
		"last answers": func(r *harness) { r.apply(Shutdown{10 * ms}); r.run(10 * ms) },
	} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				set := testSettings()
				set.Limits.Cancellation = cancel
				r := newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Ready))
				r.submit(1, "lookup", "", time.Second)
				a := effectsOf[StartAttempt](r.effects)[0].Attempt
				end(r)
				if got := effectsOf[WithdrawUnsent](r.effects); len(got) != 1 || got[0].Attempt != a {
					t.Fatalf("withdrawn: %v", got)
				}
				r.apply(AttemptEnded{Attempt: a, Status: control.NeverSent})
				r.run(2 * time.Second)
				if len(r.broker.requests.byID) != 0 || len(effectsOf[StartAttempt](r.effects)) != 1 {
					t.Fatalf("%d requests are left, %d attempts were made", len(r.broker.requests.byID), len(effectsOf[StartAttempt](r.effects)))
				}
			})
		}
	}
}

// The last answers before a broker ends say what is true of each request, and what comes after them is refused at
// once and never sent on.
func TestFinalAnswers(t *testing.T) {
	once := control.Class{Name: "once", LatencyObjective: time.Second, PriorityWeight: 1, Threads: 1, Idempotency: control.NonIdempotent}
	zone := control.Class{Name: "zone", LatencyObjective: time.Second, PriorityWeight: 1, Threads: 1, Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeZone, DedupWindow: time.Second}
	for name, c := range map[string]struct {
		class string
		ended control.Status // how its attempt ended; OK: it is out
		sent  bool
		want  ReplyKind
	}{
		"repeatable, out":                   {"lookup", control.OK, true, ReplyRejected},
		"keyed for all engines, out":        {"load", control.OK, true, ReplyRejected},
		"keyed for a zone, out":             {"zone", control.OK, true, ReplyFailed},
		"unsafe, out":                       {"once", control.OK, true, ReplyFailed},
		"unsafe, reset":                     {"once", control.ConnectionReset, true, ReplyFailed},
		"unsafe, never sent":                {"once", control.OK, false, ReplyRejected},
		"unsafe, sent and surely never ran": {"once", control.NeverSent, true, ReplyRejected},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Classes = append(set.Classes, once, zone)
			set.Limits.MaxAttempts = 1 // no other attempt comes between
			r := newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Draining))
			if c.sent {
				r = newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Ready))
			}
			r.submit(1, c.class, "", 10*time.Second)
			r.run(10 * ms)
			wants := effectsOf[StartAttempt](r.effects)
			if len(wants) > 0 != c.sent {
				t.Fatalf("%d attempts", len(wants))
			}
			if c.ended != control.OK {
				r.broker.Apply(r.now, AttemptEnded{Attempt: wants[0].Attempt, Status: c.ended}) // the module has not heard of it
			}
			r.effects = nil
			r.effects = append(r.effects, r.broker.Apply(r.now, Shutdown{0})...)
			r.apply()
			r.expectReplies(c.want)
			r.submit(2, c.class, "", 10*time.Second)
			r.run(time.Second)
			r.expectReplies(c.want, ReplyRejected)
			if len(effectsOf[StartAttempt](r.effects)) > 0 || r.broker.OpenRequests() != 0 {
				t.Fatal("what came after the last answers was taken")
			}
		})
	}
}

// A client that leaves in the round in which its request comes has nothing sent on.
func TestClientLeavesInTheBatchOfItsRequest(t *testing.T) {
	for name, leave := range map[string]Event{"closed": SessionClosed{1}, "killed": Kill{RequestedBy: 2, Target: 1}} {
		r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
		r.now += testSettings().MinBatchInterval
		r.broker.Apply(r.now, SubmitRequest{1, Request{RequestID: "a", Class: "lookup", SentAt: r.now, Timeout: time.Second}})
		r.apply(leave)
		r.run(time.Second)
		if len(effectsOf[StartAttempt](r.effects)) > 0 || r.broker.OpenRequests() != 0 || len(r.broker.requests.byID) != 0 {
			t.Fatalf("%s: it was sent on, or is kept", name)
		}
	}
}

// A page of the change log may tell of one engine that it drains, is gone and is back, and of another that takes over
// its address: each is followed in its order, and what is sent goes where the last of them says.
func TestSeveralChangesOfOneEngineInOnePage(t *testing.T) {
	at := func(seq int64, hosts ...changelog.Endpoint) changelog.Change {
		return changelog.Change{Revision: seq, Endpoints: hosts}
	}
	back := endpoint("e1", "127.0.0.1:1", control.Ready)
	back.StartedAt = startTime - time.Hour
	for name, c := range map[string]struct {
		changes []changelog.Change
		to      string // where a request goes; empty: nowhere
		drops   int
	}{
		"drain, gone and back": {[]changelog.Change{
			at(2, endpoint("e1", "127.0.0.1:1", control.Draining)),
			at(3, endpoint("e1", "", control.Removed)), at(4, back),
		}, "e1", 1},
		"back, then drain":   {[]changelog.Change{at(2, endpoint("e1", "", control.Removed)), at(3, back), at(4, endpoint("e1", "127.0.0.1:1", control.Draining))}, "", 1},
		"address taken over": {[]changelog.Change{at(2, endpoint("e1", "127.0.0.1:1", control.Draining)), at(3, endpoint("e2", "127.0.0.1:1", control.Ready))}, "e2", 1},
		"taken over and back elsewhere": {[]changelog.Change{
			at(2, endpoint("e2", "127.0.0.1:1", control.Ready)),
			at(3, endpoint("e2", "127.0.0.1:1", control.Draining)), at(4, endpoint("e1", "127.0.0.1:3", control.Ready)),
		}, "e1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
			r.apply(EndpointChanges{changelog.Page{Revision: 4, Changes: c.changes}})
			r.run(10 * ms)
			r.submit(1, "lookup", "", time.Second)
			r.run(10 * ms)
			to := ""
			for _, w := range effectsOf[StartAttempt](r.effects) {
				to = w.Engine
			}
			if to != c.to || len(effectsOf[CloseEngineConnections](r.effects)) != c.drops {
				t.Fatalf("sent to %q after %d drops, want %q after %d", to, len(effectsOf[CloseEngineConnections](r.effects)), c.to, c.drops)
			}
		})
	}
}

// A request that ends in the round that also sends another one may let a word go that had waited behind it, such as one
// that kills that other. At whichever moment they meet, the module is told how each of its attempts ended: one that it
// never hears of would take room at its engine for good.
func TestQueuedKillOfARequestStartedInTheSameBatch(t *testing.T) {
	for offset := range 40 {
		r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
		r.submit(1, "lookup", "", 40*ms)
		r.apply(Kill{RequestedBy: 1, Target: 2, SentAt: r.now + time.Second})
		r.run(time.Duration(offset) * ms)
		r.broker.Apply(r.now, SubmitRequest{2, Request{RequestID: "b", Class: "lookup", SentAt: r.now, Timeout: time.Second}})
		r.run(100 * ms)
		for _, w := range effectsOf[StartAttempt](r.effects) {
			r.apply(AttemptEnded{Attempt: w.Attempt, Status: control.Cancelled})
		}
		r.run(2 * time.Second)
		var v control.View
		r.broker.module.View(&v)
		if v.Engines[0].ThreadsInFlight != 0 || len(r.broker.requests.byID) != 0 || r.broker.OpenRequests() != 0 {
			t.Errorf("%d ms: %d threads are held and %d requests are left", offset, v.Engines[0].ThreadsInFlight, len(r.broker.requests.byID))
		}
	}
}

// Where second copies are forbidden, the next attempt of a request leaves only once the word that called off the one before
// has had its way, or the end of its connection: it may have the shorter way to another engine.
func TestNextAttemptWaitsForTheCancelOfThePrevious(t *testing.T) {
	for _, c := range []struct {
		copies bool
		how    control.Status
		waits  bool
	}{
		{true, control.Cancelled, false},
		{true, control.ConnectionReset, false},
		{false, control.Cancelled, true},
		{false, control.ConnectionReset, true},
		{false, control.ConnectFailed, false},
		{false, control.AtCapacity, false}, // these never ran
	} {
		set := testSettings()
		set.Limits.Hedging = c.copies
		r := newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
		r.submit(1, "lookup", "", time.Second)
		r.run(20 * ms)
		r.apply(AttemptEnded{Attempt: effectsOf[StartAttempt](r.effects)[0].Attempt, Status: c.how})
		ended := r.now
		for len(effectsOf[StartAttempt](r.effects)) < 2 && r.now < ended+time.Second {
			r.run(ms)
		}
		if waited := r.now-ended >= settleDelay; waited != c.waits {
			t.Errorf("%+v: the next attempt left after %v", c, r.now-ended)
		}
	}
}

// A request that crosses a reload to shorter deadlines was worded by those before, and is taken; one that waits longer than
// any that were in force is not.
func TestRequestCrossingAReloadToShorterTimeouts(t *testing.T) {
	set := testSettings()
	set.Classes[0].ClientTimeout = 5 * time.Second
	for allow, wants := range map[time.Duration]int{time.Second: 1, 5 * time.Second: 1, 7 * time.Second: 0} {
		r := newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Ready))
		shorter := testSettings()
		shorter.Classes[0].ClientTimeout = time.Second
		r.apply(UpdateSettings{shorter})
		r.submit(1, "lookup", "", allow)
		r.run(20 * ms)
		if got := len(effectsOf[StartAttempt](r.effects)); got != wants {
			t.Errorf("allow %v: %d attempts, want %d", allow, got, wants)
		}
	}
}

// A request that nothing helps is answered while its client waits still: that began to wait before its bytes came here, and
// the answer has its way. One with an order key may have been held back by its client for another that this broker has not
// seen. What is kept for that is a small part of a short wait.
func TestFinalAnswerArrivesInTime(t *testing.T) {
	for _, c := range []struct {
		class, key  string
		allow, kept time.Duration
	}{
		{"lookup", "", time.Second, answerMargin},
		{"lookup", "", 40 * ms, 6 * ms},
		{"load", "k", 2 * time.Second, keySpacingNewConnection + keySpacingSlack},
		{"load", "k", 200 * ms, 30 * ms},
	} {
		r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
		r.submit(1, c.class, c.key, c.allow)
		if len(effectsOf[StartAttempt](r.effects)) != 1 { // its engine hangs
			t.Fatalf("%+v: not sent on", c)
		}
		sent := r.now
		for len(effectsOf[Reply](r.effects)) == 0 && r.now < sent+c.allow {
			r.run(ms)
		}
		if left := sent + c.allow - r.now; left < c.kept || left > c.kept+3*testSettings().MinBatchInterval {
			t.Errorf("%+v: the answer left %v before its client's time", c, left)
		}
	}
}

// A client's last retry may have less time left than the ways take: it is refused at once. Where a class is wanted as soon
// as that, it is taken.
func TestRequestWithoutTimeLeft(t *testing.T) {
	for _, c := range []struct {
		aim, allow time.Duration
		kinds      []ReplyKind
		wants      int
	}{
		{400 * ms, answerMargin, []ReplyKind{ReplyRejected}, 0},
		{400 * ms, answerMargin + 5*ms, nil, 1},
		{answerMargin, answerMargin, nil, 1},
	} {
		set := testSettings()
		set.Classes[0].LatencyObjective = c.aim
		r := newHarnessWithSettings(t, set, endpoint("e1", "127.0.0.1:1", control.Ready))
		r.submit(1, "lookup", "", c.allow)
		r.expectReplies(c.kinds...)
		if wants := len(effectsOf[StartAttempt](r.effects)); wants != c.wants || r.broker.OpenRequests() != c.wants {
			t.Errorf("%+v: %d attempts, %d open", c, wants, r.broker.OpenRequests())
		}
	}
}

// An attempt has ended and its request is about to have another one. Whatever comes in that moment goes first: a client that
// leaves, an engine that drains, the last answers.
func TestEventsThatCrossARetry(t *testing.T) {
	drains := EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		endpoint("e1", "127.0.0.1:1", control.Draining), endpoint("e2", "127.0.0.1:2", control.Draining),
	}}}}}
	for name, c := range map[string]struct {
		comes   Event
		wants   int
		replies []ReplyKind
	}{
		"nothing":      {ProbeResult{}, 2, nil},
		"client left":  {SessionClosed{1}, 1, nil},
		"killed":       {Kill{RequestedBy: 2, Target: 1}, 1, []ReplyKind{ReplyOK, ReplyInterrupted}},
		"drains":       {drains, 1, nil},
		"last answers": {SendFinalAnswers{}, 1, []ReplyKind{ReplyRejected}},
	} {
		for _, first := range []bool{true, false} { // which of the two comes first
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
			r.submit(1, "lookup", "", 10*time.Second)
			events := []Event{c.comes, AttemptEnded{Attempt: effectsOf[StartAttempt](r.effects)[0].Attempt, Status: control.ConnectFailed}}
			if !first {
				events[0], events[1] = events[1], events[0]
			}
			r.apply(events...)
			r.run(100 * ms)
			if wants := len(effectsOf[StartAttempt](r.effects)); wants != c.wants {
				t.Errorf("%s, ahead %v: %d attempts, want %d", name, first, wants, c.wants)
			}
			r.expectReplies(c.replies...)
		}
	}
}

// A request that waits for its key as the last answers are given was never sent on: it is refused, and stays unsent though
// the one before it ends then.
func TestFinalAnswersIncludeRequestsWaitingForTheirKey(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
	r.submit(1, "load", "k", 10*time.Second)
	r.submit(2, "load", "k", 10*time.Second)
	r.run(100 * ms)
	wants := effectsOf[StartAttempt](r.effects)
	if len(wants) != 1 {
		t.Fatalf("%d attempts, want the first of the key alone", len(wants))
	}
	r.apply(Shutdown{50 * ms})
	r.run(60 * ms)
	r.expectReplies(ReplyRejected, ReplyRejected) // the first is keyed for all engines
	r.apply(AttemptEnded{Attempt: wants[0].Attempt, Status: control.Cancelled})
	r.run(time.Second)
	if len(effectsOf[StartAttempt](r.effects)) != 1 || r.broker.OpenRequests() != 0 {
		t.Fatal("the second was sent on after its answer")
	}
}
