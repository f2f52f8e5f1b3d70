// Package frontend serves clients that use the MySQL protocol. It accepts their connections, logs them in, translates
// their commands into events of the reducer and sends them the reducer's replies. Each connection has one goroutine
// that reads and one that writes; received commands are posted to the loop that owns the reducer.
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
	// Post schedules a function and reports whether it was accepted. It may block until ctx ends.
	Post(ctx context.Context, f func()) bool
}

// EventSink receives events for the reducer. Its methods are called in the loop.
type EventSink interface {
	// Apply passes an event to the reducer and performs the resulting effects.
	Apply(event broker.Event)
	// Enqueue applies an event after the current effects have been performed.
	Enqueue(event broker.Event)
}

// Observer is notified of events on clients' connections.
type Observer interface {
	// ConnectionEnded is called on any goroutine when a connection has ended.
	ConnectionEnded(end ConnectionEnd)
	// Violated is called in the loop when an invariant was violated.
	Violated(rule invariant.Rule, fields ...zap.Field)
}

// ConnectionEnd describes a connection that has ended.
type ConnectionEnd struct {
	Peer     string
	Session  broker.Session // 0 if the connection was rejected
	OpenedAt time.Time
	Idle     time.Duration // since bytes were last received, or since the connection was opened
	Err      error         // the reason, see netconn.ReasonOf
}

// Config configures a frontend. Its functions may be called on any goroutine.
type Config struct {
	MaxConns    int // maximum number of clients; further connections are rejected
	InputBytes  int // memory of large messages that are not complete
	OutputBytes int // memory of replies that were not sent
	MaxRejected int // maximum number of rejected connections that stay open until the client has read the error
	Log         *zap.Logger
	// NextSession returns the id of the next session.
	NextSession func() broker.Session
	// MaxClientTimeout returns the longest timeout that a request can have.
	MaxClientTimeout func() time.Duration
	// EarliestArrival returns the earliest time at which bytes may have arrived that were read at readAt by a goroutine
	// that was waiting for them. Both times are those of the reducer.
	EarliestArrival func(readAt time.Duration) time.Duration
}

// Frontend serves the clients of one listener. Its methods must be called in the loop, except Serve, Addr and Close.
type Frontend struct {
	cfg      Config
	listener net.Listener
	loop     Loop
	events   EventSink
	observer Observer

	// Owned by the loop.
	clients        map[broker.Session]*client
	listenerClosed bool // all connections that had arrived are in clients
	replyBuffer    []byte

	// Used by several goroutines.
	slots          chan struct{} // semaphore for the clients' connections
	rejectSlots    chan struct{} // semaphore for the rejected connections that are still open
	tcpInfoRefused atomic.Bool   // the system refused TCP_INFO, which was logged
	input          *inputMemory
	turns          *messageTurns
	unsentMemory   atomic.Int64 // memory of all clients' send queues in bytes

	mu         sync.Mutex // guards finalReads and the read deadlines of clients that depend on it
	finalReads bool       // the final reads of a shutdown have begun
}

// New returns a frontend, which accepts clients while Serve runs.
func New(listener net.Listener, cfg Config, loop Loop, events EventSink, observer Observer) *Frontend {
	return &Frontend{
		cfg: cfg, listener: listener, loop: loop, events: events, observer: observer,
		clients:     map[broker.Session]*client{},
		slots:       make(chan struct{}, cfg.MaxConns),
		rejectSlots: make(chan struct{}, cfg.MaxRejected),
		input:       newInputMemory(cfg.InputBytes),
		turns:       newMessageTurns(),
	}
}

// Addr returns the address at which clients connect.
func (f *Frontend) Addr() net.Addr { return f.listener.Addr() }

// Close closes the listener. Existing connections stay open.
func (f *Frontend) Close() error { return f.listener.Close() }

// Serve serves clients until ctx ends, or until the listener is closed after its final reads and the last connection
// has ended.
func (f *Frontend) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.accept(ctx, group) })
	return group.Wait()
}

// LimitMemory changes the memory of incomplete large messages and of replies that were not sent.
func (f *Frontend) LimitMemory(inputBytes, outputBytes int) {
	f.input.setCapacity(inputBytes)
	f.cfg.OutputBytes = outputBytes
}

// Pending reports whether a small command of a client has arrived, or has begun to arrive, that the loop has not
// applied yet. Messages whose rest is awaited, and large ones, are not pending: a crowd that sends them would keep all
// sessions.
func (f *Frontend) Pending(session broker.Session) bool {
	c := f.clients[session]
	if c == nil {
		return false
	}
	unread, _ := unreadBytes(c.conn.Socket())
	return c.handling.Load() || unread > 0 && !c.messageBegun.Load()
}

// PauseInput pauses or resumes the reading of large messages, whatever their share of the memory.
func (f *Frontend) PauseInput(paused bool) { f.input.setPaused(paused) }

// EvictHolders evicts clients that hold memory: a number of those that do not complete their messages, and those with
// half of the replies that are not read.
func (f *Frontend) EvictHolders(messages int) {
	f.input.evictOldest(messages)
	f.evictUnread(int(f.unsentMemory.Load()) / 2)
}

// ClientCount returns the number of clients.
func (f *Frontend) ClientCount() int { return len(f.clients) }

// MemoryUse is the memory that clients make a frontend hold, in bytes.
type MemoryUse struct {
	InputBytes  int // of incomplete large messages
	OutputBytes int // of replies that were not sent
	Waiting     int // number of clients that are not read until there is memory for their messages
}

// MemoryUse returns the memory that the accounts of the frontend count as in use.
func (f *Frontend) MemoryUse() MemoryUse {
	input, waiting := f.input.use()
	return MemoryUse{InputBytes: input, OutputBytes: int(f.unsentMemory.Load()), Waiting: waiting}
}

// Admit lets a client be greeted.
func (f *Frontend) Admit(session broker.Session) {
	if c := f.clients[session]; c != nil {
		close(c.admitted)
	}
}

// CloseSession ends a client's connection once all commands that were read from it have been answered.
func (f *Frontend) CloseSession(session broker.Session, reason broker.CloseReason) {
	if c := f.clients[session]; c != nil {
		c.close(&netconn.EndError{Reason: closeReasons[reason]})
	}
}

// CloseAll ends all clients' connections once all commands that were read from them have been answered.
func (f *Frontend) CloseAll(reason netconn.Reason) {
	for _, c := range f.clients {
		c.close(&netconn.EndError{Reason: reason})
	}
}
