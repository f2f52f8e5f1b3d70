package main

import (
	"context"
	"os"
	"time"

	"wheatlane/internal/emulator/engine"
)

// engineClasses are the request classes of a soak run. Their work is small: a run checks rules, not performance.
var engineClasses = []engine.Class{
	{Name: "lookup", MeanWork: 30 * time.Millisecond, Threads: 1, MeanRows: 4},
	{Name: "report", MeanWork: 200 * time.Millisecond, Threads: 2, MeanRows: 300},
	{Name: "load", MeanWork: 100 * time.Millisecond, Threads: 1, MeanRows: 1},
}

// engineConfig configures the engines of a soak run. MaxQueries is high enough that no engine is ever at capacity: a
// broker may retry a request that an engine rejected at capacity, which the verifier would report as a violation.
var engineConfig = engine.Config{
	Cores: 4, SaturationPoint: 1.9, MaxQueries: 4096, DedupWindow: 15 * time.Second,
	SlowStartDuration: 8 * time.Second, SlowStartInitial: 0.33,
}

// engineReporter reports the attempts at an engine.
type engineReporter struct{ events *eventWriter }

// AttemptReceived reports an attempt.
func (r engineReporter) AttemptReceived(a engine.Attempt) {
	r.events.write(Event{
		Kind: AttemptReceived, At: a.ReceivedAt, Engine: a.Engine, Request: a.RequestID, Class: a.Class,
		Timeout: a.Timeout,
	})
}

// AttemptEnded reports the end of an attempt.
func (r engineReporter) AttemptEnded(engineID, requestID string, at time.Time) {
	r.events.write(Event{Kind: AttemptEnded, At: at, Engine: engineID, Request: requestID})
}

// runEngine emulates one engine until ctx ends.
func runEngine(ctx context.Context, id string) error {
	events := newEventWriter(os.Stdout)
	server, err := engine.NewServer(id, engineClasses, engineConfig, engineReporter{events})
	if err != nil {
		return err
	}
	events.write(Event{Kind: EngineListening, At: time.Now(), Engine: id, Addr: server.Addr()})
	return server.Run(ctx)
}
