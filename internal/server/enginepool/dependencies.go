package enginepool

import (
	"context"
	"time"

	"wheatlane/internal/broker"
)

// Loop runs functions for a pool. Its methods may be called on any goroutine.
type Loop interface {
	// Post schedules f to be called by the owner of the pool. It blocks until f is accepted or the owner has stopped.
	Post(f func())
	// Start calls run on a new goroutine. The context of run ends when the owner stops or when the returned function is
	// called with a cause.
	Start(run func(ctx context.Context)) context.CancelCauseFunc
}

// EventSink receives events for the reducer. Only the owner of a pool calls it.
type EventSink interface {
	// Apply passes an event to the reducer and performs the resulting effects.
	Apply(event broker.Event)
	// Enqueue applies an event after the current effects have been performed.
	Enqueue(event broker.Event)
}

// Observer is notified of events on connections to engines. Unless noted otherwise, the owner of the pool calls its
// methods.
type Observer interface {
	// DuplicateResponse is called when an engine sends a response for which no stream is waiting.
	DuplicateResponse(engine string)
	// DrainStarted is called when an engine begins to drain or is put into maintenance mode.
	DrainStarted()
	// DrainCompleted is called when the last byte queued at the start of a drain has been sent, with the time since
	// then.
	DrainCompleted(took time.Duration)
	// LateWrite is called when an attempt was sent with a timeout that exceeded the client's remaining time by too much.
	LateWrite(engine string)
	// ConnectionEnded is called on any goroutine when a connection has ended or could not be established.
	ConnectionEnded(addr string, openedAt time.Time, err error)
}

// Stats holds counts of a pool.
type Stats struct {
	Connections    int    // established or being established
	Streams        int    // attempts and load probes on the connections
	Dials          uint64 // connections that were begun, since the start
	LivenessProbes uint64 // probes that were sent, since the start
}
