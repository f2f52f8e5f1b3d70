// Package frontend serves clients that speak the MySQL protocol. It accepts their connections, logs them in, turns
// their commands into events of the reducer and sends them the reducer's replies. Each connection has one goroutine
// that reads and one that writes; what they receive goes to the loop that owns the reducer.
package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/netconn"
)

// Loop runs functions on the goroutine that owns the reducer.
type Loop interface {
	// Post hands a function over and reports whether it was taken. It may wait, until ctx ends.
	Post(ctx context.Context, f func()) bool
}

// EventSink takes events of the reducer. Its methods are called in the loop.
type EventSink interface {
	// Apply applies an event and carries out its effects.
	Apply(event broker.Event)
	// Enqueue has an event applied after the effects that are being carried out.
	Enqueue(event broker.Event)
}

// Observer is notified of what happens on connections.
type Observer interface {
	// ConnectionEnded reports the end of a connection, on any goroutine.
	ConnectionEnded(peer string, openedAt time.Time, err error)
	// Violated reports that an invariant was broken, in the loop.
	Violated(rule invariant.Rule, fields ...zap.Field)
}

// Config is what a frontend needs. Its functions are called on any goroutine.
type Config struct {
	MaxConns    int            // connections of clients; those beyond are rejected
	MaxRejected int            // rejected connections whose clients are given time to read that
	LastSession broker.Session // the ids of sessions follow it
	Log         *zap.Logger
	// MaxClientTimeout returns the longest timeout that a request can have.
	MaxClientTimeout func() time.Duration
	// EarliestArrival returns the earliest time at which bytes may have arrived that were read at readAt by a goroutine
	// that was waiting for them. Both are times of the reducer.
	EarliestArrival func(readAt time.Duration) time.Duration
}

// Frontend serves the clients of one listener. Its methods run in the loop, but for Serve, Addr and Close.
type Frontend struct {
	cfg      Config
	listener net.Listener
	loop     Loop
	events   EventSink
	observer Observer

	// Owned by the loop.
	clients        map[broker.Session]*client
	listenerClosed bool // and all connections that had come to it are in clients
	replyBuffer    []byte

	// Owned by the goroutine that accepts.
	lastSession broker.Session

	// Used by several goroutines.
	slots          chan struct{} // one is taken for each client's connection
	rejectSlots    chan struct{} // one is taken for each rejected connection that is not closed yet
	tcpInfoRefused atomic.Bool   // the system refused TCP_INFO, which was logged

	mu         sync.Mutex // guards what follows, and the read deadlines of clients that follow from it
	finalReads bool       // the listener and the connections are read for the last time
}

// New returns a frontend. It accepts nothing before Serve.
func New(listener net.Listener, cfg Config, loop Loop, events EventSink, observer Observer) *Frontend {
	return &Frontend{
		cfg: cfg, listener: listener, loop: loop, events: events, observer: observer,
		clients:     map[broker.Session]*client{},
		lastSession: cfg.LastSession,
		slots:       make(chan struct{}, cfg.MaxConns),
		rejectSlots: make(chan struct{}, cfg.MaxRejected),
	}
}

// Addr returns the address at which clients connect.
func (f *Frontend) Addr() net.Addr { return f.listener.Addr() }

// Close closes the listener. Connections stay.
func (f *Frontend) Close() error { return f.listener.Close() }

// Serve serves clients until ctx ends, or until the listener is closed after its final reads and the last connection
// has ended.
func (f *Frontend) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.accept(ctx, group) })
	return group.Wait()
}

// ClientCount returns the number of clients.
func (f *Frontend) ClientCount() int { return len(f.clients) }

// Admit has a client greeted.
func (f *Frontend) Admit(session broker.Session) {
	if c := f.clients[session]; c != nil {
		close(c.admitted)
	}
}

// CloseSession ends a client's connection, once all that was read from it is answered.
func (f *Frontend) CloseSession(session broker.Session, reason broker.CloseReason) {
	if c := f.clients[session]; c != nil {
		c.close(&netconn.EndError{Reason: closeReasons[reason]})
	}
}

// CloseAll ends all clients' connections, once all that was read from them is answered.
func (f *Frontend) CloseAll(reason netconn.Reason) {
	for _, c := range f.clients {
		c.close(&netconn.EndError{Reason: reason})
	}
}
