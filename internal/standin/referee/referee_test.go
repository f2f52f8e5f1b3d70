package referee

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1_750_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// good is a day without a breach.
func good(r *Referee) {
	r.Asked(Request{Ref: "a", Class: "load", Key: "k", At: at(0), Allow: time.Second})
	r.Wanted("e1", "a", at(10*ms))
	r.Ended("e1", "a", at(50*ms))
	r.Answered("a", Served, at(60*ms))
	r.Asked(Request{Ref: "b", Class: "load", Key: "k", At: at(70 * ms), Allow: time.Second})
	r.Wanted("e2", "b", at(80*ms))
	r.Ended("e2", "b", at(90*ms))
	r.Wanted("e1", "b", at(100*ms)) // another attempt
	r.Ended("e1", "b", at(120*ms))
	r.Answered("b", Refused, at(130*ms))
	r.Draining("e2", at(200*ms))
	r.Asked(Request{Ref: "c", Class: "lookup", At: at(300 * ms), Allow: time.Second})
	r.Wanted("e2", "c", at(600*ms)) // within the grace
	r.Ended("e2", "c", at(700*ms))
	r.Answered("c", Failed, at(900*ms))
	r.InService("e2")
	r.Wanted("e2", "c", at(1200*ms))
	r.Asked(Request{Ref: "d", Class: "lookup", At: at(1500 * ms), Allow: time.Second}) // open still
}

func judge(plant func(*Referee)) []string {
	r := New(Rules{DrainGrace: 500 * ms, Slack: 50 * ms, MostTries: 2, LeaveGrace: 300 * ms, OneOut: true})
	good(r)
	plant(r)
	return r.Judge(at(2 * time.Second)).Breaches
}

// Each rule finds the breach that is planted for it, and nothing else is found.
func TestBreaches(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*Referee)
		want  string
	}{
		{"none", func(*Referee) {}, ""},
		{"no answer", func(r *Referee) { r.Asked(Request{Ref: "x", At: at(0), Allow: time.Second}) }, "has no answer"},
		{"lost", func(r *Referee) {
			r.Asked(Request{Ref: "x", At: at(0), Allow: time.Second})
			r.Answered("x", Lost, at(10*ms))
		}, "x of : lost"},
		{"an answer that no engine made", func(r *Referee) { r.Answered("a", Wrong, at(time.Second)) }, "a of load: wrong"},
		{"sent after a drain", func(r *Referee) {
			r.Draining("e3", at(time.Second))
			r.Wanted("e3", "d", at(1551*ms))
		}, "after its drain was told"},
		{"asked by nobody", func(r *Referee) { r.Wanted("e1", "zz", at(0)) }, "which no client asked"},
		{"too many attempts", func(r *Referee) {
			for i := range 3 {
				r.Wanted("e1", "d", at(time.Duration(1500+i)*ms))
				r.Ended("e1", "d", at(time.Duration(1500+i)*ms))
			}
		}, "3 attempts"},
		{"a repeat of what may run once", func(r *Referee) {
			r.Asked(Request{Ref: "x", Once: true, At: at(1500 * ms), Allow: time.Second})
			r.Wanted("e1", "x", at(1501*ms))
			r.Ended("e1", "x", at(1550*ms))
			r.Wanted("e2", "x", at(1600*ms))
		}, "may run once"},
		{"sent on though its client has left", func(r *Referee) {
			r.Asked(Request{Ref: "x", At: at(0), Allow: time.Second})
			r.Answered("x", Left, at(100*ms))
			r.Wanted("e1", "x", at(401*ms))
		}, "x of  was sent on 301ms after"},
		{"sent on as its client left, or before", func(r *Referee) {
			for ref, from := range map[string]time.Duration{"x": 399 * ms, "y": 50 * ms} {
				r.Asked(Request{Ref: ref, At: at(0), Allow: time.Second})
				r.Answered(ref, Left, at(100*ms))
				r.Wanted("e1", ref, at(from))
			}
		}, ""},
		{"two attempts out at once", func(r *Referee) {
			r.Wanted("e1", "d", at(1500*ms))
			r.Wanted("e3", "d", at(1510*ms))
			r.Ended("e1", "d", at(1520*ms))
			r.Ended("e3", "d", at(1530*ms))
		}, "d was out at e1 and e3 at once"},
		{"two of a key at once", func(r *Referee) {
			r.Asked(Request{Ref: "x", Key: "k", At: at(1500 * ms), Allow: time.Second})
			r.Asked(Request{Ref: "y", Key: "k", At: at(1510 * ms), Allow: time.Second})
			r.Wanted("e1", "x", at(1520*ms))
			r.Wanted("e2", "y", at(1530*ms))
			r.Ended("e1", "x", at(1540*ms))
			r.Ended("e2", "y", at(1550*ms))
		}, "y ran at e2 while x ran at e1"},
		{"a key out of order", func(r *Referee) {
			r.Asked(Request{Ref: "x", Key: "k", At: at(1500 * ms), Allow: time.Second})
			r.Asked(Request{Ref: "y", Key: "k", At: at(1510 * ms), Allow: time.Second})
			r.Wanted("e1", "y", at(1520*ms))
			r.Ended("e1", "y", at(1540*ms))
			r.Wanted("e2", "x", at(1560*ms))
			r.Ended("e2", "x", at(1570*ms))
		}, "y ran ahead of x"},
	} {
		got := judge(c.plant)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}
