package broker

import (
	"fmt"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/changelog"
)

// BenchmarkRequest measures the reducer and the decision module. Each iteration submits one request, in a closed loop
// of clients and of engines with a constant service time.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ clients, engines int }{{16, 4}, {256, 64}} {
		b.Run(fmt.Sprintf("clients=%d,engines=%d", c.clients, c.engines), func(b *testing.B) {
			l := newClosedLoop(b, c.clients, c.engines)
			b.ReportAllocs()
			for b.Loop() {
				l.request()
			}
			b.ReportMetric(float64(l.answers[ReplyResult])/float64(max(1, l.submitted)), "served/request")
		})
	}
}

const (
	loopArrivalsPerEngine = 200 // per second
	loopServiceTime       = 15 * time.Millisecond
)

// closedLoop drives a broker with clients that submit their next request once the previous one is answered.
type closedLoop struct {
	broker    *Broker
	now       time.Duration
	gap       time.Duration    // time between two requests
	idle      []Session        // without an open request
	running   []runningAttempt // ordered by doneAt
	submitted int
	answers   map[ReplyKind]int
}

type runningAttempt struct {
	id     AttemptID
	doneAt time.Duration
}

func newClosedLoop(b *testing.B, clients, engines int) *closedLoop {
	b.Helper()
	settings := testSettings()
	settings.EnginesReportLoad = true
	reducer, err := New(settings, 1, clients)
	if err != nil {
		b.Fatal(err)
	}
	l := &closedLoop{
		broker:  reducer,
		now:     startTime,
		gap:     time.Second / time.Duration(loopArrivalsPerEngine*engines),
		answers: map[ReplyKind]int{},
	}
	endpoints := make([]changelog.Endpoint, engines)
	for n := range endpoints {
		endpoints[n] = endpoint(fmt.Sprint("engine-", n), fmt.Sprint("10.0.0.1:", n), control.Ready)
	}
	l.handleEffects(reducer.Apply(l.now, snapshot(1, endpoints...)))
	for n := range clients {
		id := Session(n + 1)
		l.handleEffects(reducer.Apply(l.now, SessionOpened{id}))
		l.handleEffects(reducer.Apply(l.now, SessionAuthenticated{id}))
		l.idle = append(l.idle, id)
	}
	return l
}

// request submits one request as soon as a client is idle.
func (l *closedLoop) request() {
	l.step()
	for len(l.idle) == 0 {
		l.step()
	}
	client := l.idle[0]
	l.idle = l.idle[1:]
	l.submitted++
	l.handleEffects(l.broker.Apply(l.now, SubmitRequest{Session: client, Request: Request{
		RequestID: fmt.Sprint(l.submitted), Class: "lookup", SentAt: l.now,
		Timeout: 2 * time.Second, EstimatedWork: loopServiceTime, Body: "SELECT 1",
	}}))
}

// step advances the time by gap, responds to the attempts that are done and calls Tick.
func (l *closedLoop) step() {
	l.now += l.gap
	for len(l.running) > 0 && l.running[0].doneAt <= l.now {
		id := l.running[0].id
		l.running = l.running[1:]
		l.handleEffects(l.broker.Apply(l.now, FirstPageReceived{
			Attempt: id, PageCount: 1, Work: loopServiceTime, Report: loadreport.Report{Reported: true, Utilization: 0.5},
			Body: []byte("1\t2\t3\n"),
		}))
	}
	l.handleEffects(l.broker.Tick(l.now))
}

func (l *closedLoop) handleEffects(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case StartAttempt:
			l.running = append(l.running, runningAttempt{e.Attempt, l.now + loopServiceTime})
		case CancelAttempt:
			l.handleEffects(l.broker.Apply(l.now, AttemptEnded{Attempt: e.Attempt, Status: control.Cancelled}))
		case Reply:
			l.answers[e.Kind]++
			l.idle = append(l.idle, e.Session)
		}
	}
}
