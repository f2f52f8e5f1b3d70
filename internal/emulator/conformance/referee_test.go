package conformance

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1_750_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// good is a day without a breach.
func good(r *Checker) {
	r.RequestSent(Request{ID: "a", Class: "load", Key: "k", SentAt: at(0), Timeout: time.Second})
	r.AttemptReceived("e1", "a", at(10*ms))
	r.AttemptEnded("e1", "a", at(50*ms))
	r.RequestEnded("a", Served, at(60*ms))
	r.RequestSent(Request{ID: "b", Class: "load", Key: "k", SentAt: at(70 * ms), Timeout: time.Second})
	r.AttemptReceived("e2", "b", at(80*ms))
	r.AttemptEnded("e2", "b", at(90*ms))
	r.AttemptReceived("e1", "b", at(100*ms)) // another attempt
	r.AttemptEnded("e1", "b", at(120*ms))
	r.RequestEnded("b", Rejected, at(130*ms))
	r.EngineDraining("e2", at(200*ms))
	r.RequestSent(Request{ID: "c", Class: "lookup", SentAt: at(300 * ms), Timeout: time.Second})
	r.AttemptReceived("e2", "c", at(600*ms)) // within the grace
	r.AttemptEnded("e2", "c", at(700*ms))
	r.RequestEnded("c", Failed, at(900*ms))
	r.EngineInService("e2")
	r.AttemptReceived("e2", "c", at(1200*ms))
	r.RequestSent(Request{ID: "d", Class: "lookup", SentAt: at(1500 * ms), Timeout: time.Second}) // open still
}

func judge(plant func(*Checker)) []string {
	r := New(Rules{DrainGrace: 500 * ms, Slack: 50 * ms, MaxAttempts: 2, DisconnectGrace: 300 * ms, NoHedging: true})
	good(r)
	plant(r)
	return r.Check(at(2 * time.Second)).Breaches
}

// Each rule finds the breach that is planted for it, and nothing else is found.
func TestBreaches(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*Checker)
		want  string
	}{
		{"none", func(*Checker) {}, ""},
		{"no answer", func(r *Checker) { r.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second}) }, "has no answer"},
		{"lost", func(r *Checker) {
			r.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second})
			r.RequestEnded("x", Unanswered, at(10*ms))
		}, "x of : lost"},
		{"an answer that no engine made", func(r *Checker) { r.RequestEnded("a", WrongAnswer, at(time.Second)) }, "a of load: wrong"},
		{"sent after a drain", func(r *Checker) {
			r.EngineDraining("e3", at(time.Second))
			r.AttemptReceived("e3", "d", at(1551*ms))
		}, "after its drain was told"},
		{"asked by nobody", func(r *Checker) { r.AttemptReceived("e1", "zz", at(0)) }, "which no client asked"},
		{"too many attempts", func(r *Checker) {
			for i := range 3 {
				r.AttemptReceived("e1", "d", at(time.Duration(1500+i)*ms))
				r.AttemptEnded("e1", "d", at(time.Duration(1500+i)*ms))
			}
		}, "3 attempts"},
		{"a repeat of what may run once", func(r *Checker) {
			r.RequestSent(Request{ID: "x", NonIdempotent: true, SentAt: at(1500 * ms), Timeout: time.Second})
			r.AttemptReceived("e1", "x", at(1501*ms))
			r.AttemptEnded("e1", "x", at(1550*ms))
			r.AttemptReceived("e2", "x", at(1600*ms))
		}, "may run once"},
		{"sent on though its client has left", func(r *Checker) {
			r.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second})
			r.RequestEnded("x", ClientLeft, at(100*ms))
			r.AttemptReceived("e1", "x", at(401*ms))
		}, "x of  was sent on 301ms after"},
		{"sent on as its client left, or before", func(r *Checker) {
			for ref, from := range map[string]time.Duration{"x": 399 * ms, "y": 50 * ms} {
				r.RequestSent(Request{ID: ref, SentAt: at(0), Timeout: time.Second})
				r.RequestEnded(ref, ClientLeft, at(100*ms))
				r.AttemptReceived("e1", ref, at(from))
			}
		}, ""},
		{"two attempts out at once", func(r *Checker) {
			r.AttemptReceived("e1", "d", at(1500*ms))
			r.AttemptReceived("e3", "d", at(1510*ms))
			r.AttemptEnded("e1", "d", at(1520*ms))
			r.AttemptEnded("e3", "d", at(1530*ms))
		}, "d was out at e1 and e3 at once"},
		{"two of a key at once", func(r *Checker) {
			r.RequestSent(Request{ID: "x", Key: "k", SentAt: at(1500 * ms), Timeout: time.Second})
			r.RequestSent(Request{ID: "y", Key: "k", SentAt: at(1510 * ms), Timeout: time.Second})
			r.AttemptReceived("e1", "x", at(1520*ms))
			r.AttemptReceived("e2", "y", at(1530*ms))
			r.AttemptEnded("e1", "x", at(1540*ms))
			r.AttemptEnded("e2", "y", at(1550*ms))
		}, "y ran at e2 while x ran at e1"},
		{"a key out of order", func(r *Checker) {
			r.RequestSent(Request{ID: "x", Key: "k", SentAt: at(1500 * ms), Timeout: time.Second})
			r.RequestSent(Request{ID: "y", Key: "k", SentAt: at(1510 * ms), Timeout: time.Second})
			r.AttemptReceived("e1", "y", at(1520*ms))
			r.AttemptEnded("e1", "y", at(1540*ms))
			r.AttemptReceived("e2", "x", at(1560*ms))
			r.AttemptEnded("e2", "x", at(1570*ms))
		}, "y ran ahead of x"},
	} {
		got := judge(c.plant)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}
