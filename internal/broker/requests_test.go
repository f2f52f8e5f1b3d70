package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/broker/clientdeadline"
)

// Every request gets exactly one answer before its client times out, whatever happens to its attempt. A client that
// disconnected gets none.
func TestExactlyOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		do        func(h *harness, a AttemptID)
		replies   []ReplyKind
		cancelled bool // the attempt is cancelled
	}{
		"silent engine": {func(*harness, AttemptID) {}, []ReplyKind{ReplyRejected}, true},
		"answer after request ended": {func(h *harness, a AttemptID) {
			h.run(2 * time.Second)
			h.apply(firstPage(a, 1, nil))
		}, []ReplyKind{ReplyRejected}, true},
		"two answers": {func(h *harness, a AttemptID) {
			h.apply(firstPage(a, 1, nil), firstPage(a, 1, nil))
		}, []ReplyKind{ReplyResult}, false},
		"killed": {func(h *harness, _ AttemptID) {
			h.apply(Kill{RequestedBy: 2, Target: 1})
		}, []ReplyKind{ReplyOK, ReplyInterrupted}, true},
		"client disconnected": {func(h *harness, _ AttemptID) { h.apply(SessionClosed{1}) }, nil, true},
		"shutdown": {func(h *harness, _ AttemptID) {
			h.apply(Shutdown{500 * ms})
		}, []ReplyKind{ReplyRejected}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			h.submit(1, "lookup", "", 2*time.Second)
			c.do(h, h.onlyAttempt())
			h.run(2*time.Second - 1)
			h.expectReplies(c.replies...)
			if open := h.broker.OpenRequests(); open != 0 {
				t.Fatalf("%d requests are open, want 0", open)
			}
			if c.cancelled && len(effectsOf[CancelAttempt](h.effects)) == 0 {
				t.Fatal("the attempt was not cancelled")
			}
		})
	}
}

// Requests of one order key go to engines one at a time, in the order in which they were sent, even if they are read in
// another order from several connections.
func TestOrderKeySerializesAttempts(t *testing.T) {
	h := newHarness(t, engine1(), engine2())
	request := func(s Session, sentAt time.Duration) Event {
		return SubmitRequest{Session: s, Request: Request{
			RequestID: fmt.Sprint(s), Class: "load", OrderKey: "k", IdempotencyKey: "op", SentAt: sentAt,
			Timeout: 9 * time.Second,
		}}
	}
	h.run(10 * ms)
	h.apply(request(3, h.now), request(2, h.now-80*ms), request(1, h.now-160*ms))
	got := make([]string, 0, 3)
	for range 3 {
		h.run(200 * ms)
		started := h.started()
		last := started[len(started)-1]
		got = append(got, last.RequestID)
		h.apply(firstPage(last.Attempt, 1, nil))
	}
	if diff := cmp.Diff([]string{"1", "2", "3"}, got); diff != "" {
		t.Fatal(diff)
	}
	testNextRequestOfKeyWaitsForCancel(t, h)
}

// testNextRequestOfKeyWaitsForCancel verifies that the next request of an order key starts only once the cancel of the
// previous one has reached its engine.
func testNextRequestOfKeyWaitsForCancel(t *testing.T, h *harness) {
	t.Helper()
	h.submit(4, "load", "k2", 9*time.Second)
	h.submit(5, "load", "k2", 9*time.Second)
	h.run(200 * ms)
	before := h.started()
	first := before[len(before)-1]
	h.apply(SessionClosed{4})
	if h.run(10 * ms); len(effectsOf[CancelAttempt](h.effects)) != 1 || first.RequestID != requestID(4) {
		t.Fatal("the attempt of the disconnected client was not cancelled")
	}
	h.apply(AttemptEnded{Attempt: first.Attempt, Status: control.Cancelled})
	if h.run(settleDelay - ms); len(h.started()) != len(before) {
		t.Fatal("the next request was started before the cancel could have arrived")
	}
	h.run(200 * ms)
	if started := h.started(); started[len(started)-1].RequestID != requestID(5) {
		t.Fatal("the next request was not started")
	}
}

// A request with an invalid field is answered with an error, and its session stays open.
func TestInvalidRequests(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Request)
		want   ReplyKind
	}{
		"valid":            {func(*Request) {}, ReplyResult},
		"unknown class":    {func(r *Request) { r.Class = "nonsense" }, ReplyInvalidFields},
		"unknown tenant":   {func(r *Request) { r.Tenant = "nobody" }, ReplyInvalidFields},
		"timeout too long": {func(r *Request) { r.Timeout = time.Hour }, ReplyInvalidFields},
		"missing key":      {func(r *Request) { r.Class, r.IdempotencyKey = "load", "" }, ReplyInvalidFields},
		"duplicate id":     {func(r *Request) { r.RequestID = "open" }, ReplyInvalidFields},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Tenants = []control.Tenant{{Name: "acme", Share: 1}}
			settings.Classes[0].ClientTimeout = 2 * time.Second
			h := newHarnessWithSettings(t, settings, engine1())
			valid := Request{
				RequestID: "open", Class: "lookup", Tenant: "acme", IdempotencyKey: "op", SentAt: h.now,
				Timeout: 2 * time.Second,
			}
			h.apply(SubmitRequest{Session: 1, Request: valid})
			h.run(10 * ms)
			open := h.onlyAttempt()
			next := valid
			next.RequestID = "next"
			c.change(&next)
			h.apply(SubmitRequest{Session: 2, Request: next})
			h.run(10 * ms)
			if c.want == ReplyResult {
				h.apply(firstPage(h.started()[1].Attempt, 1, nil))
			}
			h.expectReplies(c.want)
			// Once the first request is answered, its id may be used again.
			h.apply(firstPage(open, 1, nil), SubmitRequest{Session: 1, Request: valid})
			h.expectReplies(c.want, ReplyResult)
			if n := h.broker.OpenRequests(); n != 1 {
				t.Fatalf("%d requests are open, want 1", n)
			}
		})
	}
}

// No attempt is started if the client disconnects before the decision module's batch with its request.
func TestClientDisconnectsInBatchOfItsRequest(t *testing.T) {
	for name, end := range map[string]Event{
		"closed": SessionClosed{1},
		"killed": Kill{RequestedBy: 2, Target: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			h.now += testSettings().MinBatchInterval
			request := Request{RequestID: "a", Class: "lookup", SentAt: h.now, Timeout: time.Second}
			h.broker.Apply(h.now, SubmitRequest{Session: 1, Request: request})
			h.apply(end)
			h.run(time.Second)
			if len(h.started()) > 0 || h.broker.OpenRequests() != 0 || len(h.broker.requests.byID) != 0 {
				t.Fatal("an attempt was started, or the request was not removed")
			}
		})
	}
}

// A request whose engine hangs is answered before its client times out. The client's timeout began before the request
// arrived, and the answer needs time for transit. A client may have delayed a request with an order key after another
// one that this broker did not receive. The reserve for that is a limited fraction of a short timeout.
func TestFinalAnswerArrivesInTime(t *testing.T) {
	for _, c := range []struct {
		class, key       string
		timeout, reserve time.Duration
	}{
		{"lookup", "", time.Second, clientdeadline.TransitReserve},
		{"lookup", "", 40 * ms, 6 * ms},
		{"load", "k", 2 * time.Second, 265 * ms},
		{"load", "k", 200 * ms, 30 * ms},
	} {
		t.Run(fmt.Sprintf("%s with %v", c.class, c.timeout), func(t *testing.T) {
			h := newHarness(t, engine1())
			h.submit(1, c.class, c.key, c.timeout)
			h.onlyAttempt() // the engine does not respond
			sentAt := h.now
			for len(effectsOf[Reply](h.effects)) == 0 && h.now < sentAt+c.timeout {
				h.run(ms)
			}
			left := sentAt + c.timeout - h.now
			if left < c.reserve || left > c.reserve+3*testSettings().MinBatchInterval {
				t.Errorf("the answer was sent %v before the client's timeout, want %v", left, c.reserve)
			}
		})
	}
}

// A client's last retry may have less time left than the answer takes. It is rejected immediately, unless the latency
// objective of its class is as short.
func TestRequestWithoutTimeLeft(t *testing.T) {
	for name, c := range map[string]struct {
		objective, timeout time.Duration
		replies            []ReplyKind
		attempts           int
	}{
		"no time left":    {400 * ms, clientdeadline.TransitReserve, []ReplyKind{ReplyRejected}, 0},
		"some time left":  {400 * ms, clientdeadline.TransitReserve + 5*ms, nil, 1},
		"short objective": {clientdeadline.TransitReserve, clientdeadline.TransitReserve, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].LatencyObjective = c.objective
			h := newHarnessWithSettings(t, settings, engine1())
			h.submit(1, "lookup", "", c.timeout)
			h.expectReplies(c.replies...)
			if n := len(h.started()); n != c.attempts || h.broker.OpenRequests() != c.attempts {
				t.Errorf("%d attempts, %d open requests, want %d", n, h.broker.OpenRequests(), c.attempts)
			}
		})
	}
}
