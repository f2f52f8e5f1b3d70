package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

// recordingMeter keeps what a meter is told.
type recordingMeter struct {
	NopMeter
	accepted, started int
	rejected          []ReplyKind
	requests          []RequestSummary
	attempts          []AttemptSummary
}

func (t *recordingMeter) RequestAccepted(*Request)      { t.accepted++ }
func (t *recordingMeter) RequestRejected(k ReplyKind)   { t.rejected = append(t.rejected, k) }
func (t *recordingMeter) AttemptStarted(string)         { t.started++ }
func (t *recordingMeter) RequestEnded(o RequestSummary) { t.requests = append(t.requests, o) }
func (t *recordingMeter) AttemptEnded(o AttemptSummary) { t.attempts = append(t.attempts, o) }

// lookupRequest is a lookup of a session, sent at a time.
func lookupRequest(s Session, ref string, sent time.Duration) SubmitRequest {
	return SubmitRequest{s, Request{RequestID: ref, Class: "lookup", Tenant: "acme", SentAt: sent, Timeout: 2 * time.Second, Body: "SELECT 1"}}
}

// What becomes of requests and attempts is told once, with the times of the client's clock, and work counts as wasted
// where no client got its answer though it may have run.
func TestMeter(t *testing.T) {
	const e = "e1"
	for _, c := range []struct {
		name string
		do   func(*harness)
		want recordingMeter
	}{
		{"served", func(r *harness) {
			w := effectsOf[StartAttempt](r.apply(lookupRequest(1, "a", r.now-100*ms)))
			if len(w) == 0 {
				w = effectsOf[StartAttempt](r.run(10 * ms))
			}
			r.now += 50 * ms
			r.apply(AttemptServed{Attempt: w[0].Attempt, PageCount: 1, Body: []byte("1\t2\t3\n")})
		}, recordingMeter{
			accepted: 1, started: 1,
			requests: []RequestSummary{{Class: "lookup", Tenant: "acme", Kind: ReplyResult, Duration: 150 * ms, Objective: 400 * ms, Attempts: 1}},
			attempts: []AttemptSummary{{Class: "lookup", Engine: e, Status: control.OK, Duration: 50 * ms}},
		}},
		{"its client leaves while it runs", func(r *harness) {
			w := effectsOf[StartAttempt](r.apply(lookupRequest(1, "a", r.now)))
			r.now += 30 * ms
			r.apply(SessionClosed{1})
			r.run(10 * ms)
			r.apply(AttemptEnded{Attempt: w[0].Attempt, Status: control.Cancelled})
		}, recordingMeter{
			accepted: 1, started: 1,
			requests: []RequestSummary{{Class: "lookup", Tenant: "acme", Kind: ReplyInterrupted, ClientLeft: true, Duration: 30 * ms, Objective: 400 * ms, Attempts: 1}},
			attempts: []AttemptSummary{{Class: "lookup", Engine: e, Status: control.Cancelled, Duration: 40 * ms, Wasted: true}},
		}},
		{"bad fields", func(r *harness) {
			r.apply(SubmitRequest{1, Request{RequestID: "a", Class: "odd", SentAt: r.now, Timeout: time.Second}})
		}, recordingMeter{rejected: []ReplyKind{ReplyInvalidFields}}},
		{"a command that is not known", func(r *harness) {
			r.apply(InvalidRequest{1, Reply{Kind: ReplyUnknownCommand}})
		}, recordingMeter{rejected: []ReplyKind{ReplyUnknownCommand}}},
		{"killed", func(r *harness) {
			w := effectsOf[StartAttempt](r.apply(lookupRequest(1, "a", r.now)))
			r.now += 30 * ms
			r.apply(Kill{RequestedBy: 2, Target: 1})
			r.apply(AttemptEnded{Attempt: w[0].Attempt, Status: control.Cancelled})
		}, recordingMeter{
			accepted: 1, started: 1, rejected: []ReplyKind{ReplyInterrupted},
			requests: []RequestSummary{{Class: "lookup", Tenant: "acme", Kind: ReplyInterrupted, ClientLeft: true, Duration: 30 * ms, Objective: 400 * ms, Attempts: 1}},
			attempts: []AttemptSummary{{Class: "lookup", Engine: e, Status: control.Cancelled, Duration: 30 * ms, Wasted: true}},
		}},
		{"a ping is no refusal", func(r *harness) { r.apply(Ping{1}) }, recordingMeter{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, endpoint(e, "127.0.0.1:1", control.Ready))
			got := &recordingMeter{}
			r.broker.SetMeter(got)
			c.do(r)
			if diff := cmp.Diff(c.want, *got, cmp.AllowUnexported(recordingMeter{})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Of an attempt whose engine never got it, or said that it never ran, nothing was wasted.
func TestNeverRunAttemptsAreNotWasted(t *testing.T) {
	for status, wasted := range map[control.Status]bool{
		control.ConnectFailed: false, control.AtCapacity: false, control.NeverSent: false,
		control.ConnectionReset: true, control.Failed: true,
	} {
		r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
		got := &recordingMeter{}
		r.broker.SetMeter(got)
		w := effectsOf[StartAttempt](r.apply(lookupRequest(1, "a", r.now)))
		r.apply(AttemptEnded{Attempt: w[0].Attempt, Status: status})
		if len(got.attempts) == 0 || got.attempts[0].Wasted != wasted || got.attempts[0].Status != status {
			t.Errorf("status %v: %+v", status, got.attempts)
		}
	}
}
