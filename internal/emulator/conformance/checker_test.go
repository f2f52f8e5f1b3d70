package conformance

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1_750_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// recordConformingEvents records a sequence of events without a violation.
func recordConformingEvents(c *Checker) {
	c.RequestSent(Request{ID: "a", Class: "load", OrderKey: "k", SentAt: at(0), Timeout: time.Second})
	c.AttemptReceived("e1", "a", at(10*ms))
	c.AttemptEnded("e1", "a", at(50*ms))
	c.RequestEnded("a", Served, at(60*ms))
	c.RequestSent(Request{ID: "b", Class: "load", OrderKey: "k", SentAt: at(70 * ms), Timeout: time.Second})
	c.AttemptReceived("e2", "b", at(80*ms))
	c.AttemptEnded("e2", "b", at(90*ms))
	c.AttemptReceived("e1", "b", at(100*ms)) // second attempt
	c.AttemptEnded("e1", "b", at(120*ms))
	c.RequestEnded("b", Rejected, at(130*ms))
	c.EngineDraining("e2", at(200*ms))
	c.RequestSent(Request{ID: "c", Class: "lookup", SentAt: at(300 * ms), Timeout: time.Second})
	c.AttemptReceived("e2", "c", at(600*ms)) // within DrainGrace
	c.AttemptEnded("e2", "c", at(700*ms))
	c.RequestEnded("c", Failed, at(900*ms))
	c.EngineInService("e2")
	c.AttemptReceived("e2", "c", at(1200*ms))
	c.RequestSent(Request{ID: "d", Class: "lookup", SentAt: at(1500 * ms), Timeout: time.Second}) // still open
}

// violationsOf returns the violations that the checker reports for conforming events and the injected ones.
func violationsOf(inject func(*Checker)) []string {
	c := New(Rules{
		DrainGrace: 500 * ms, Slack: 50 * ms, MaxAttempts: 2, DisconnectGrace: 300 * ms, NoHedging: true,
	})
	recordConformingEvents(c)
	inject(c)
	return c.Check(at(2 * time.Second)).Violations
}

var violationCases = []struct {
	name   string
	inject func(*Checker)
	want   string // part of the only violation; empty for none
}{
	{"no violation", func(*Checker) {}, ""},
	{"no answer within the timeout", func(c *Checker) {
		c.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second})
	}, "has no answer"},
	{"connection ended without an answer", func(c *Checker) {
		c.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second})
		c.RequestEnded("x", Unanswered, at(10*ms))
	}, "x of : lost"},
	{"wrong answer", func(c *Checker) {
		c.RequestEnded("a", WrongAnswer, at(time.Second))
	}, "a of load: wrong"},
	{"attempt at a draining engine", func(c *Checker) {
		c.EngineDraining("e3", at(time.Second))
		c.AttemptReceived("e3", "d", at(1551*ms))
	}, "after its drain was published"},
	{"attempt without a request", func(c *Checker) { c.AttemptReceived("e1", "zz", at(0)) }, "which no client sent"},
	{"too many attempts", func(c *Checker) {
		for i := range 3 {
			c.AttemptReceived("e1", "d", at(time.Duration(1500+i)*ms))
			c.AttemptEnded("e1", "d", at(time.Duration(1500+i)*ms))
		}
	}, "3 attempts"},
	{"retry of a non-idempotent request", func(c *Checker) {
		c.RequestSent(Request{ID: "x", NonIdempotent: true, SentAt: at(1500 * ms), Timeout: time.Second})
		c.AttemptReceived("e1", "x", at(1501*ms))
		c.AttemptEnded("e1", "x", at(1550*ms))
		c.AttemptReceived("e2", "x", at(1600*ms))
	}, "may run once"},
	{"first attempt after the disconnect grace", func(c *Checker) {
		c.RequestSent(Request{ID: "x", SentAt: at(0), Timeout: time.Second})
		c.RequestEnded("x", ClientDisconnected, at(100*ms))
		c.AttemptReceived("e1", "x", at(401*ms))
	}, "x of  was sent to an engine 301ms after"},
	{"first attempt before the disconnect or within the grace", func(c *Checker) {
		for id, receivedAt := range map[string]time.Duration{"x": 399 * ms, "y": 50 * ms} {
			c.RequestSent(Request{ID: id, SentAt: at(0), Timeout: time.Second})
			c.RequestEnded(id, ClientDisconnected, at(100*ms))
			c.AttemptReceived("e1", id, at(receivedAt))
		}
	}, ""},
	{"two attempts of a request in flight", func(c *Checker) {
		c.AttemptReceived("e1", "d", at(1500*ms))
		c.AttemptReceived("e3", "d", at(1510*ms))
		c.AttemptEnded("e1", "d", at(1520*ms))
		c.AttemptEnded("e3", "d", at(1530*ms))
	}, "d was in flight at e1 and e3 at once"},
	{"two requests of an order key in flight", func(c *Checker) {
		c.RequestSent(Request{ID: "x", OrderKey: "k", SentAt: at(1500 * ms), Timeout: time.Second})
		c.RequestSent(Request{ID: "y", OrderKey: "k", SentAt: at(1510 * ms), Timeout: time.Second})
		c.AttemptReceived("e1", "x", at(1520*ms))
		c.AttemptReceived("e2", "y", at(1530*ms))
		c.AttemptEnded("e1", "x", at(1540*ms))
		c.AttemptEnded("e2", "y", at(1550*ms))
	}, "y ran at e2 while x ran at e1"},
	{"requests of an order key out of order", func(c *Checker) {
		c.RequestSent(Request{ID: "x", OrderKey: "k", SentAt: at(1500 * ms), Timeout: time.Second})
		c.RequestSent(Request{ID: "y", OrderKey: "k", SentAt: at(1510 * ms), Timeout: time.Second})
		c.AttemptReceived("e1", "y", at(1520*ms))
		c.AttemptEnded("e1", "y", at(1540*ms))
		c.AttemptReceived("e2", "x", at(1560*ms))
		c.AttemptEnded("e2", "x", at(1570*ms))
	}, "y ran ahead of x"},
}

// Each rule reports the violation that is injected for it and no other; conforming events cause none.
func TestCheckReportsEachInjectedViolation(t *testing.T) {
	for _, tt := range violationCases {
		t.Run(tt.name, func(t *testing.T) {
			got := violationsOf(tt.inject)
			if tt.want == "" && len(got) == 0 {
				return
			}
			if tt.want == "" || len(got) != 1 || !strings.Contains(got[0], tt.want) {
				t.Errorf("violations %q, want %q", got, tt.want)
			}
		})
	}
}
