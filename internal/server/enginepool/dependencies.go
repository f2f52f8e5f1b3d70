package enginepool

import (
	"context"
	"time"

	"wheatlane/internal/broker"
)

// Loop runs functions for a pool. Its methods may be called on any goroutine.
type Loop interface {
	// Post has the owner of the pool call f. It waits until that is accepted, or the owner has ended.
	Post(f func())
	// Start calls run on a new goroutine, with a context that ends with the owner, or as the returned function is
	// called with a cause.
	Start(run func(ctx context.Context)) context.CancelCauseFunc
}

// EventSink is given the events of the reducer. A pool calls it as the owner only.
type EventSink interface {
	// Apply gives the reducer an event and carries out what follows.
	Apply(event broker.Event)
	// Enqueue does so once the effects that are being carried out are done.
	Enqueue(event broker.Event)
}

// Observer is notified of what happens on connections to engines, by the owner where nothing else is said.
type Observer interface {
	// DuplicateResponse reports that an engine answered what nothing waits for.
	DuplicateResponse(engine string)
	// DrainStarted reports that an engine began to drain or was put into maintenance.
	DrainStarted()
	// DrainCompleted reports how long after that the last byte left for the engine.
	DrainCompleted(took time.Duration)
	// LateWrite reports that an attempt left with a timeout that had become too long.
	LateWrite(engine string)
	// ConnectionEnded reports the end of a connection, also of one that was never established. It is called on any
	// goroutine.
	ConnectionEnded(addr string, openedAt time.Time, err error)
}

// Stats are counts of a pool.
type Stats struct {
	Connections    int    // open ones, and those that are being established
	Streams        int    // attempts and load probes on them
	Dials          uint64 // connections begun
	LivenessProbes uint64 // sent
}
