package main

import (
	"strings"
	"testing"
	"time"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// at returns the time of a run that is d after its begin.
func at(d time.Duration) time.Time { return begin.Add(d) }

// servedHistory returns the history of a request that one attempt served.
func servedHistory() *history {
	h := newHistory()
	h.events = []Event{
		{Kind: RequestSent, At: at(0), Broker: "b1", Request: "r1", Class: "report", Timeout: time.Second},
		{Kind: AttemptReceived, At: at(100 * ms), Engine: "e1", Request: "r1", Timeout: 900 * ms},
		{Kind: RequestEnded, At: at(300 * ms), Broker: "b1", Request: "r1", Outcome: Served},
	}
	return h
}

// Each injected violation yields exactly one finding, and none if a fault of the run exempts the request.
func TestVerifyFindsInjectedViolations(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(h *history)
		want   string // substring of the only finding; empty: no finding
	}{
		"served": {func(*history) {}, ""},
		"closed without an answer": {
			func(h *history) { h.events[2].Outcome = ConnectionClosed }, "closed",
		},
		"closed by SIGKILL of the broker": {func(h *history) {
			h.events[2].Outcome = ConnectionClosed
			h.brokerKills["b1"] = []span{{at(290 * ms), at(310 * ms)}}
		}, ""},
		"closed, sent just before SIGTERM to the broker": {func(h *history) {
			h.events[2].Outcome = ConnectionClosed
			h.brokerTerms["b1"] = []time.Time{at(50 * ms)}
		}, "closed"},
		"no answer":       {func(h *history) { h.events[2].Outcome = NoAnswer }, "no_answer"},
		"wrong rows":      {func(h *history) { h.events[2].Outcome = WrongRows }, "wrong_rows"},
		"a second answer": {func(h *history) { h.events[2].Outcome = DuplicateAnswer }, "second_came"},
		"two attempts of a request that must not be repeated": {func(h *history) {
			second := h.events[1]
			second.Engine = "e2"
			h.events = append(h.events, second)
		}, "may run once: 2 attempts"},
		"timeout too long": {
			func(h *history) { h.events[1].Timeout = 1150 * ms }, "timeout of 1.15s with 900ms left",
		},
		"timeout too long at a paused engine": {func(h *history) {
			h.events[1].Timeout = 1150 * ms
			h.engineDelays["e1"] = []span{{at(-ms), at(50 * ms)}}
		}, ""},
		"attempt after the client disconnected": {func(h *history) {
			h.events[2] = Event{Kind: RequestEnded, At: at(-100 * ms), Request: "r1", Outcome: ClientDisconnected}
		}, "began 200ms after its client had left"},
		"attempt at a draining engine": {func(h *history) {
			h.drains["e1"] = []span{{at(-500 * ms), at(time.Minute)}}
		}, "600ms after its drain"},
		"attempt at a draining engine during a change log fault": {func(h *history) {
			h.drains["e1"] = []span{{at(-500 * ms), at(time.Minute)}}
			h.changelogFaults = []span{{at(-time.Second), at(-400 * ms)}}
		}, ""},
		"attempt at an engine in maintenance": {func(h *history) {
			h.maintenance["e1"] = []span{{at(-time.Second), at(time.Minute)}}
		}, "1.1s after its maintenance"},
		"attempt without a request": {func(h *history) { h.events = h.events[1:2] }, "no client sent"},
	} {
		t.Run(name, func(t *testing.T) {
			h := servedHistory()
			tt.change(h)
			findings := strings.Join(h.verify().findings, "\n")
			if tt.want == "" && findings != "" || !strings.Contains(findings, tt.want) ||
				strings.Contains(findings, "\n") {
				t.Errorf("found %q, want %q", findings, tt.want)
			}
		})
	}
}

// A request that a client sends after SIGTERM to its broker is owed an answer if the broker has read it, as it has if
// it forwarded it. A request that stayed unread is owed none.
func TestRequestAfterTermIsExemptUnlessForwarded(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		h := servedHistory()
		h.events[2].Outcome = ConnectionClosed
		h.brokerTerms["b1"] = []time.Time{at(-300 * ms)}
		if !forwarded {
			h.events = []Event{h.events[0], h.events[2]}
		}
		if findings := h.verify().findings; (len(findings) > 0) != forwarded {
			t.Errorf("forwarded %v: findings %q", forwarded, findings)
		}
	}
}

// A request that begins before an earlier one of its key and broker is found, unless two processes served it.
func TestVerifyFindsPassedRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		begins time.Duration // of the earlier one; the later one begins at 200 ms
		change func(h *history)
		want   int
	}{
		"in order": {150 * ms, func(*history) {}, 0},
		"passed":   {400 * ms, func(*history) {}, 1},
		"during an upgrade": {
			400 * ms, func(h *history) { h.upgrades["b1"] = []span{{at(-time.Second), at(0)}} }, 0,
		},
		"sent at once": {400 * ms, func(h *history) { h.events[1].At = at(minKeyInterval - ms) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			sent := Event{Kind: RequestSent, At: at(0), Broker: "b1", Request: "r1", Key: "k", Timeout: time.Second}
			later := sent
			later.At, later.Request = at(80*ms), "r2"
			h.events = []Event{
				sent, later,
				{Kind: AttemptReceived, At: at(tt.begins), Engine: "e1", Request: "r1"},
				{Kind: AttemptReceived, At: at(200 * ms), Engine: "e2", Request: "r2"},
			}
			tt.change(h)
			if findings := h.verify().findings; len(findings) != tt.want {
				t.Errorf("found %q, want %d", findings, tt.want)
			}
		})
	}
}

// A drain just after an outage of the change log must be kept; one during the outage can't be known.
func TestVerifyFindsDrainAfterOutage(t *testing.T) {
	for end, want := range map[time.Duration]int{-530 * ms: 1, -400 * ms: 0} {
		h := servedHistory()
		h.drains["e1"] = []span{{at(-500 * ms), at(time.Minute)}}
		h.outages = []span{{at(-5 * time.Second), at(end)}}
		if findings := h.verify().findings; len(findings) != want {
			t.Errorf("outage until %v: found %q, want %d", end, findings, want)
		}
	}
}
