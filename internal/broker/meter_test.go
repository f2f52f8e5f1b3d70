package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

// recordingMeter records the calls of its methods.
type recordingMeter struct {
	NopMeter
	accepted, started int
	rejected          []ReplyKind
	requests          []RequestSummary
	attempts          []AttemptSummary
}

func (m *recordingMeter) RequestAccepted(*Request)      { m.accepted++ }
func (m *recordingMeter) RequestRejected(k ReplyKind)   { m.rejected = append(m.rejected, k) }
func (m *recordingMeter) AttemptStarted(string)         { m.started++ }
func (m *recordingMeter) RequestEnded(r RequestSummary) { m.requests = append(m.requests, r) }
func (m *recordingMeter) AttemptEnded(a AttemptSummary) { m.attempts = append(m.attempts, a) }

// lookupRequest returns a request of class lookup on session 1, sent at the given time.
func lookupRequest(sentAt time.Duration) SubmitRequest {
	return SubmitRequest{Session: 1, Request: Request{
		RequestID: "a", Class: "lookup", Tenant: "acme", SentAt: sentAt, Timeout: 2 * time.Second,
		Body: "SELECT 1",
	}}
}

// The outcome of each request and attempt is reported once, with the request's duration from the time at which the
// client sent it. An attempt counts as wasted if it may have run but no client got its result.
func TestMeter(t *testing.T) {
	abandoned := []RequestSummary{{
		Class: "lookup", Tenant: "acme", Kind: ReplyInterrupted, Abandoned: true, Duration: 30 * ms,
		Objective: 400 * ms, Attempts: 1,
	}}
	wasted := func(duration time.Duration) []AttemptSummary {
		return []AttemptSummary{{
			Class: "lookup", Engine: "e1", Status: control.Cancelled, Duration: duration, Wasted: true,
		}}
	}
	for name, c := range map[string]struct {
		do   func(h *harness)
		want recordingMeter
	}{
		"served": {func(h *harness) {
			h.apply(lookupRequest(h.now - 100*ms))
			h.now += 50 * ms
			h.apply(firstPage(h.onlyAttempt(), 1, row))
		}, recordingMeter{
			accepted: 1, started: 1,
			requests: []RequestSummary{{
				Class: "lookup", Tenant: "acme", Kind: ReplyResult, Duration: 150 * ms, Objective: 400 * ms,
				Attempts: 1,
			}},
			attempts: []AttemptSummary{{Class: "lookup", Engine: "e1", Status: control.OK, Duration: 50 * ms}},
		}},
		"client disconnects": {func(h *harness) {
			h.apply(lookupRequest(h.now))
			h.now += 30 * ms
			h.apply(SessionClosed{1})
			h.run(10 * ms)
			h.apply(AttemptEnded{Attempt: h.onlyAttempt(), Status: control.Cancelled})
		}, recordingMeter{accepted: 1, started: 1, requests: abandoned, attempts: wasted(40 * ms)}},
		"invalid fields": {func(h *harness) {
			request := Request{RequestID: "a", Class: "odd", SentAt: h.now, Timeout: time.Second}
			h.apply(SubmitRequest{Session: 1, Request: request})
		}, recordingMeter{rejected: []ReplyKind{ReplyInvalidFields}}},
		"unknown command": {func(h *harness) {
			h.apply(ImmediateReply{1, Reply{Kind: ReplyUnknownCommand}})
		}, recordingMeter{rejected: []ReplyKind{ReplyUnknownCommand}}},
		"killed": {func(h *harness) {
			h.apply(lookupRequest(h.now))
			h.now += 30 * ms
			h.apply(Kill{RequestedBy: 2, Target: 1})
			h.apply(AttemptEnded{Attempt: h.onlyAttempt(), Status: control.Cancelled})
		}, recordingMeter{
			accepted: 1, started: 1, rejected: []ReplyKind{ReplyInterrupted}, requests: abandoned,
			attempts: wasted(30 * ms),
		}},
		"ping": {func(h *harness) { h.apply(Ping{1}) }, recordingMeter{}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			got := &recordingMeter{}
			h.broker.SetMeter(got)
			c.do(h)
			if diff := cmp.Diff(c.want, *got, cmp.AllowUnexported(recordingMeter{})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// An attempt that never reached its engine, or that the engine reported as not run, is not wasted.
func TestNeverRunAttemptsAreNotWasted(t *testing.T) {
	for name, c := range map[string]struct {
		status control.Status
		wasted bool
	}{
		"connect failed":   {control.ConnectFailed, false},
		"at capacity":      {control.AtCapacity, false},
		"never sent":       {control.NeverSent, false},
		"connection reset": {control.ConnectionReset, true},
		"failed":           {control.Failed, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engine1())
			got := &recordingMeter{}
			h.broker.SetMeter(got)
			h.apply(lookupRequest(h.now))
			h.apply(AttemptEnded{Attempt: h.onlyAttempt(), Status: c.status})
			if len(got.attempts) == 0 || got.attempts[0].Wasted != c.wasted || got.attempts[0].Status != c.status {
				t.Errorf("got %+v, want status %v, wasted %v", got.attempts, c.status, c.wasted)
			}
		})
	}
}
