package control

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	classes := []Class{{Name: "x"}}
	for name, s := range map[string]Settings{
		"zero value":                 {},
		"no classes":                 {Brokers: 1},
		"no brokers":                 {Classes: classes},
		"negative broker index":      {Classes: classes, Brokers: 2, BrokerIndex: -1},
		"broker index out of range":  {Classes: classes, Brokers: 2, BrokerIndex: 2},
		"negative number of brokers": {Classes: classes, Brokers: -1},
	} {
		if _, err := New(s, 1); !errors.Is(err, ErrInvalidSettings) {
			t.Errorf("%s: got error %v, want %v", name, err, ErrInvalidSettings)
		}
	}
}

func TestRequestIsAnsweredOnceByItsDeadline(t *testing.T) {
	h := newHarness(t, baseSettings()) // without engines, no attempt can be sent
	id, _ := h.submit("quick")
	got := h.advance(5 * time.Second)
	requireEqual(t, "rejections", countOf[Reject](got), 1)
	requireEqual(t, "rejected request", actionsOf[Reject](got)[0].RequestID, id)
	requireEqual(t, "sends", countOf[SendAttempt](got), 0)
	requireEqual(t, "remaining requests", len(h.controller.requests.byID), 0)
}

func TestAnsweredRequestIsReleased(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	id, got := h.submit("quick")
	requireEqual(t, "sends", countOf[SendAttempt](got), 1)
	h.endAttempt(id, 0, OK)
	got = h.advance(4 * time.Second)
	requireEqual(t, "rejections and failures", countOf[Reject](got)+countOf[Fail](got), 0)
	requireEqual(t, "remaining requests", len(h.controller.requests.byID), 0)
	requireEqual(t, "threads in flight", h.controller.endpoints.all[0].concurrency.ThreadsInFlight(), 0)
}

func TestAttemptOptionsOnlyWhereSupported(t *testing.T) {
	withMemory := func(r *Request) { r.EstimatedMemoryMB = 1000 }
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	_, got := h.submit("quick", withMemory)
	requireEqual(t, "options where engines apply none", countOf[SetAttemptOptions](got), 0)
	s := baseSettings()
	s.MemoryGrants, s.Priorities = true, true
	h = newHarness(t, s, readyEngine("e1"))
	_, got = h.submit("quick", withMemory)
	wantOptions := SetAttemptOptions{RequestID: "q1", GrantMB: 1250, Priority: 3}
	requireEqual(t, "options", actionsOf[SetAttemptOptions](got)[0], wantOptions)
	_, got = h.submit("quick", func(r *Request) { r.EstimatedMemoryMB = 1e6 })
	requireEqual(t, "largest grant", actionsOf[SetAttemptOptions](got)[0].GrantMB, math.Ceil(0.4*16384))
}

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	id, _ := h.submit("quick")
	h.endAttempt(id, 0, OK)
	got := h.handle(
		AttemptEnded{RequestID: id, Status: OK},
		AttemptEnded{RequestID: "never", Number: 7},
		ClientDisconnected{RequestID: id},
		ClientDisconnected{RequestID: id},
		AttemptProgress{RequestID: id, Kind: ProgressFraction},
		TimerFired{Token: 1 << 40},
		ResponseStarted{RequestID: "never"},
		ProbeResult{Engine: "never", Status: OK},
		EndpointUpdate{Kind: EndpointDelta},
	)
	requireEqual(t, "actions", len(got), 0)
	requireEqual(t, "actions for an empty batch", len(h.controller.Handle(h.now, nil)), 0)
	got = h.handle(RequestReceived{Request: Request{ID: "x", Class: "unknown", Deadline: h.now + time.Second}})
	requireEqual(t, "action for an unknown class", got[0], Action(Fail{RequestID: "x"}))
}

func TestTimeNeverGoesBackwards(t *testing.T) {
	h := newHarness(t, baseSettings(), readyEngine("e1"))
	previous := h.controller.now
	h.now -= time.Minute
	_, got := h.submit("quick", func(r *Request) { r.Deadline = previous + time.Second })
	requireEqual(t, "now", h.controller.now, previous)
	requireEqual(t, "sends", countOf[SendAttempt](got), 1)
}

// After a process pause, outcomes are handled before new requests and timers: no attempt whose end is in the
// batch is presumed lost, nothing is sent for a client that has disconnected, and a request past its deadline
// is rejected.
func TestOutcomesAreHandledFirstAfterAProcessPause(t *testing.T) {
	s := baseSettings()
	s.Limits.Hedging = true
	h := newHarness(t, s, readyEngine("e1"), readyEngine("e2"))
	id, got := h.submit("quick")
	e := actionsOf[SendAttempt](got)[0].Engine
	h.now += 2 * time.Second
	var events []Event
	for token, at := range h.timers {
		if at <= h.now {
			events = append(events, TimerFired{Token: token})
			delete(h.timers, token)
		}
	}
	slices.SortFunc(events, func(a, b Event) int {
		return int(a.(TimerFired).Token) - int(b.(TimerFired).Token)
	})
	events = append(events,
		RequestReceived{Request: Request{ID: "disconnected", Class: "quick", Deadline: h.now + time.Second}},
		ClientDisconnected{RequestID: "disconnected"},
		AttemptEnded{
			RequestID: id, Engine: e, Status: OK, RequestClosed: true, Duration: 100 * ms, Work: 100 * ms,
		},
		RequestReceived{Request: Request{ID: "late", Class: "quick", Deadline: h.now - time.Second}},
		RequestReceived{Request: Request{ID: "open", Class: "quick", Deadline: h.now + time.Second}},
	)
	got = h.handle(events...)
	sends := actionsOf[SendAttempt](got)
	requireEqual(t, "only the open request is sent", len(sends) == 1 && sends[0].RequestID == "open", true)
	requireEqual(t, "responses presumed lost", h.controller.outliers.Losses(), 0.0)
	answers := actionsOf[Reject](append(got, h.advance(50*ms)...))
	requireEqual(t, "only the late request is rejected", len(answers) == 1 && answers[0].RequestID == "late", true)
}

// Each request gets one final response with thousands of requests in one batch, hundreds of engines, an engine twice
// in one update, and finally no engines.
func TestManyRequestsAtOnceAreAnsweredOnceEach(t *testing.T) {
	h := newPooledHarness(t, pooledSettings(), 300)
	h.handle(EndpointUpdate{Kind: EndpointDelta, Engines: []Engine{readyEngine("e01"), readyEngine("e01")}})
	const count = 3000
	events := make([]Event, 0, count)
	for i := range count {
		events = append(events, RequestReceived{Request: Request{
			ID: fmt.Sprint("m", i), Class: []string{"quick", "long"}[i%2],
			Deadline: h.now + time.Duration(i%5)*time.Second,
		}})
	}
	h.handle(events...)
	h.advance(500 * ms)
	h.handle(EndpointUpdate{Kind: EndpointSnapshot}) // no engines left
	h.advance(6 * time.Second)
	answers := map[string]int{}
	for _, a := range actionsOf[Reject](h.actions) {
		answers[a.RequestID]++
	}
	requireEqual(t, "answered requests", len(answers), count)
	for id, n := range answers {
		requireEqual(t, "answers to "+id, n, 1)
	}
	for _, a := range actionsOf[SendAttempt](h.actions) {
		h.endAttempt(a.RequestID, 0, TimedOut)
	}
	requireEqual(t, "remaining requests", len(h.controller.requests.byID), 0)
}

func BenchmarkHandle(b *testing.B) {
	for _, n := range []int{20, 65} {
		b.Run(fmt.Sprint(n, "-engines"), func(b *testing.B) {
			c, err := New(pooledSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * time.Second
			c.Handle(now, []Event{EndpointUpdate{Kind: EndpointSnapshot, Engines: readyEngines(n)}})
			for i := 0; b.Loop(); i++ {
				now += 10 * ms
				id := fmt.Sprint(i)
				c.Handle(now, []Event{RequestReceived{
					Request: Request{ID: id, Class: "quick", Deadline: now + time.Second},
				}})
				c.Handle(now, []Event{AttemptEnded{
					RequestID: id, Status: OK, RequestClosed: true, Duration: 100 * ms, Work: 100 * ms,
				}})
			}
		})
	}
}
