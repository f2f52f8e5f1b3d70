package main

import (
	"strings"
	"testing"
	"time"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// at is a time of a run.
func at(d time.Duration) time.Time { return begin.Add(d) }

// plainHistory is a request that is served by one attempt.
func plainHistory() *history {
	h := newHistory()
	h.events = []Event{
		{Kind: RequestSent, At: at(0), Broker: "b1", Request: "r1", Class: "report", Timeout: time.Second},
		{Kind: AttemptReceived, At: at(100 * ms), Engine: "e1", Request: "r1", Timeout: 900 * ms},
		{Kind: RequestEnded, At: at(300 * ms), Broker: "b1", Request: "r1", Outcome: Served},
	}
	return h
}

// Each planted breach is found, and what excuses it is heeded.
func TestJudge(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(h *history)
		want   string // part of the only finding; empty: none
	}{
		"served": {func(*history) {}, ""},
		"closed without an answer": {
			func(h *history) { h.events[2].Outcome = ConnectionClosed }, "closed",
		},
		"closed by a kill": {func(h *history) {
			h.events[2].Outcome = ConnectionClosed
			h.brokerKills["b1"] = []span{{at(290 * ms), at(310 * ms)}}
		}, ""},
		"sent to a broker that was told to end": {func(h *history) {
			h.events[2].Outcome = ConnectionClosed
			h.brokerTerms["b1"] = []time.Time{at(-300 * ms)}
		}, ""},
		"sent just before a broker was told to end": {func(h *history) {
			h.events[2].Outcome = ConnectionClosed
			h.brokerTerms["b1"] = []time.Time{at(50 * ms)}
		}, "closed"},
		"no answer":       {func(h *history) { h.events[2].Outcome = NoAnswer }, "no_answer"},
		"wrong rows":      {func(h *history) { h.events[2].Outcome = WrongRows }, "wrong_rows"},
		"a second answer": {func(h *history) { h.events[2].Outcome = DuplicateAnswer }, "second_came"},
		"run twice": {func(h *history) {
			second := h.events[1]
			second.Engine = "e2"
			h.events = append(h.events, second)
		}, "may run once: 2 attempts"},
		"timeout too long": {
			func(h *history) { h.events[1].Timeout = 1150 * ms }, "timeout of 1.15s with 900ms left",
		},
		"timeout as long at a stopped engine": {func(h *history) {
			h.events[1].Timeout = 1150 * ms
			h.engineDelays["e1"] = []span{{at(-ms), at(50 * ms)}}
		}, ""},
		"started after its client had left": {func(h *history) {
			h.events[2] = Event{Kind: RequestEnded, At: at(-100 * ms), Request: "r1", Outcome: ClientDisconnected}
		}, "began 200ms after its client had left"},
		"sent to a draining engine": {func(h *history) {
			h.drains["e1"] = []span{{at(-500 * ms), at(time.Minute)}}
		}, "600ms after its drain"},
		"sent to a draining engine in trouble with the change log": {func(h *history) {
			h.drains["e1"] = []span{{at(-500 * ms), at(time.Minute)}}
			h.changelogFaults = []span{{at(-time.Second), at(-400 * ms)}}
		}, ""},
		"sent to an engine in maintenance": {func(h *history) {
			h.maintenance["e1"] = []span{{at(-time.Second), at(time.Minute)}}
		}, "1.1s after its maintenance"},
		"an attempt that nobody sent": {func(h *history) { h.events = h.events[1:2] }, "no client sent"},
	} {
		t.Run(name, func(t *testing.T) {
			h := plainHistory()
			tt.change(h)
			findings := strings.Join(h.judge().findings, "\n")
			if tt.want == "" && findings != "" || !strings.Contains(findings, tt.want) ||
				strings.Contains(findings, "\n") {
				t.Errorf("found %q, want %q", findings, tt.want)
			}
		})
	}
}
