package broker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
)

// tape keeps what a meter is told.
type tape struct {
	Unmeasured
	taken, sent int
	away        []Kind
	overs       []Over
	attempts    []AttemptOver
}

func (t *tape) Taken(*Request)            { t.taken++ }
func (t *tape) TurnedAway(k Kind)         { t.away = append(t.away, k) }
func (t *tape) Sent(string)               { t.sent++ }
func (t *tape) Over(o Over)               { t.overs = append(t.overs, o) }
func (t *tape) AttemptOver(o AttemptOver) { t.attempts = append(t.attempts, o) }

// asked is a lookup of a session, sent at a time.
func asked(s Session, ref string, sent time.Duration) Submit {
	return Submit{s, Request{Ref: ref, Class: "lookup", Tenant: "acme", Sent: sent, Allow: 2 * time.Second, Body: "SELECT 1"}}
}

// What becomes of requests and attempts is told once, with the times of the client's clock, and work counts as wasted
// where no client got its answer though it may have run.
func TestMeter(t *testing.T) {
	const e = "e1"
	for _, c := range []struct {
		name string
		do   func(*rig)
		want tape
	}{
		{"served", func(r *rig) {
			w := of[Want](r.apply(asked(1, "a", r.now-100*ms)))
			if len(w) == 0 {
				w = of[Want](r.run(10 * ms))
			}
			r.now += 50 * ms
			r.apply(Served{Attempt: w[0].Attempt, Pages: 1, Body: []byte("1\t2\t3\n")})
		}, tape{taken: 1, sent: 1,
			overs:    []Over{{Class: "lookup", Tenant: "acme", Kind: Result, Took: 150 * ms, Wanted: 400 * ms, Attempts: 1}},
			attempts: []AttemptOver{{Class: "lookup", Engine: e, Status: control.OK, Took: 50 * ms}}}},
		{"its client leaves while it runs", func(r *rig) {
			w := of[Want](r.apply(asked(1, "a", r.now)))
			r.now += 30 * ms
			r.apply(SessionClosed{1})
			r.run(10 * ms)
			r.apply(Ended{Attempt: w[0].Attempt, Status: control.Cancelled})
		}, tape{taken: 1, sent: 1,
			overs:    []Over{{Class: "lookup", Tenant: "acme", Kind: Interrupted, Gone: true, Took: 30 * ms, Wanted: 400 * ms, Attempts: 1}},
			attempts: []AttemptOver{{Class: "lookup", Engine: e, Status: control.Cancelled, Took: 40 * ms, Wasted: true}}}},
		{"bad fields", func(r *rig) {
			r.apply(Submit{1, Request{Ref: "a", Class: "odd", Sent: r.now, Allow: time.Second}})
		}, tape{away: []Kind{BadFields}}},
		{"a command that is not known", func(r *rig) {
			r.apply(Bad{1, Reply{Kind: BadCommand}})
		}, tape{away: []Kind{BadCommand}}},
		{"killed", func(r *rig) {
			w := of[Want](r.apply(asked(1, "a", r.now)))
			r.now += 30 * ms
			r.apply(Kill{By: 2, Target: 1})
			r.apply(Ended{Attempt: w[0].Attempt, Status: control.Cancelled})
		}, tape{taken: 1, sent: 1, away: []Kind{Interrupted},
			overs:    []Over{{Class: "lookup", Tenant: "acme", Kind: Interrupted, Gone: true, Took: 30 * ms, Wanted: 400 * ms, Attempts: 1}},
			attempts: []AttemptOver{{Class: "lookup", Engine: e, Status: control.Cancelled, Took: 30 * ms, Wasted: true}}}},
		{"a ping is no refusal", func(r *rig) { r.apply(Ping{1}) }, tape{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, host(e, "127.0.0.1:1", control.Ready))
			got := &tape{}
			r.b.Measure(got)
			c.do(r)
			if diff := cmp.Diff(c.want, *got, cmp.AllowUnexported(tape{})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Of an attempt whose engine never got it, or said that it never ran, nothing was wasted.
func TestWhatNeverRanIsNotWasted(t *testing.T) {
	for status, wasted := range map[control.Status]bool{control.ConnectFailed: false, control.Full: false, control.Moot: false,
		control.Reset: true, control.Failed: true} {
		r := newRig(t, host("e1", "127.0.0.1:1", control.Ready))
		got := &tape{}
		r.b.Measure(got)
		w := of[Want](r.apply(asked(1, "a", r.now)))
		r.apply(Ended{Attempt: w[0].Attempt, Status: status})
		if len(got.attempts) == 0 || got.attempts[0].Wasted != wasted || got.attempts[0].Status != status {
			t.Errorf("status %v: %+v", status, got.attempts)
		}
	}
}
