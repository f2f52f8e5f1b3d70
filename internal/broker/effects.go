package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/outlier"
	"wheatlane/internal/invariant"
)

// Effect is an action that the owner of the reducer performs. All effects are declared in this file.
type Effect interface{ effect() }

// ReplyKind is the kind of a reply.
type ReplyKind int

// The kinds of reply.
const (
	ReplyResult          ReplyKind = iota // result of a request; Pages holds the rows
	ReplyOK                               // success of a command without a result
	ReplyRejected                         // not run, or idempotent: the client may retry after RetryAfter
	ReplyFailed                           // failed request that may have run
	ReplyInterrupted                      // killed by a client
	ReplyNotReady                         // no engine is ready, or the broker is shutting down
	ReplyInvalidFields                    // a field of the request is invalid
	ReplyUnknownCommand                   // the front protocol does not support the command
	ReplyUnknownSession                   // the session to kill does not exist
	ReplyUnknownDatabase                  // the database does not exist
	ReplyTooManySessions                  // the session limit is reached
)

// CloseReason is the reason why the reducer closes a session.
type CloseReason int

// The reasons to close a session.
const (
	CloseKilled          CloseReason = iota // killed by a client, or too many commands queued
	CloseEvictedIdle                        // evicted to admit another client at the session limit
	CloseTooManySessions                    // refused at the session limit, as no session could be evicted
	CloseMessageTimeout                     // the client did not complete a message in time
)

// Effects for clients.
type (
	// Reply sends the reply to a command of a session.
	Reply struct {
		Session    Session
		Kind       ReplyKind
		Pages      [][]byte
		Text       string
		RetryAfter time.Duration
	}
	// AdmitSession admits a client: the server greeting is sent, and the connection is read.
	AdmitSession struct{ Session Session }
	// CloseSession closes a client's connection once all bytes written to it were sent.
	CloseSession struct {
		Session Session
		Reason  CloseReason
	}
)

// Effects for engines.
type (
	// StartAttempt sends an attempt to an engine.
	StartAttempt struct {
		Attempt        AttemptID
		Engine         string
		Addr           string
		RequestID      string
		Class          string
		IdempotencyKey string
		Timeout        time.Duration
		OverdueAfter   time.Duration // time from the start after which the response is likely lost; 0: unknown
		GrantMB        float64       // memory grant
		Priority       int
		Body           string
	}
	// FetchPage requests another page of an attempt's result from its engine.
	FetchPage struct {
		Attempt AttemptID
		Page    int
	}
	// CancelAttempt cancels an attempt. AttemptEnded follows once the cancel was sent to the engine.
	CancelAttempt struct{ Attempt AttemptID }
	// CancelIfUnsent cancels an attempt whose request is closed, if none of its bytes were sent; AttemptEnded follows
	// in that case. A partially sent attempt continues.
	CancelIfUnsent struct{ Attempt AttemptID }
	// ReleaseAttempt releases an attempt whose result is complete or discarded. With PagesLeft, the engine still stores
	// pages of the result.
	ReleaseAttempt struct {
		Attempt   AttemptID
		PagesLeft bool
	}
	// SetPriority changes the priority of an attempt in flight.
	SetPriority struct {
		Attempt  AttemptID
		Priority int
	}
	// ProbeLoad sends a load probe to an engine. ProbeResult follows with the same ProbeID.
	ProbeLoad struct {
		ProbeID      uint64
		Engine, Addr string
	}
	// CancelUnsentAttempts cancels the unsent attempts for an engine that is draining or in maintenance mode.
	CancelUnsentAttempts struct{ Engine string }
	// CloseEngineConnections closes connections to an engine that was removed or restarted or whose address changed.
	// If DialedBefore is not 0, connections dialed later stay open: they are to the restarted process.
	CloseEngineConnections struct {
		Engine       string
		DialedBefore time.Duration
	}
)

// Effects for other brokers and operators.
type (
	// SendGossip sends load reports to another broker.
	SendGossip struct {
		Broker  int // index of the other broker
		Reports []control.GossipedLoad
	}
	// EngineEjected logs that the decision module ejected an engine.
	EngineEjected struct {
		Engine string
		Reason outlier.Reason
	}
	// EngineRestored logs that an ejected engine receives attempts again.
	EngineRestored struct{ Engine string }
	// ResultInvalid logs that an attempt failed because its result was invalid.
	ResultInvalid struct {
		Engine string
		Err    error // an error of package resultpages
	}
	// InvariantViolation logs that a rule was violated for a request, or that a violation was prevented.
	InvariantViolation struct {
		Rule      invariant.Rule
		Session   Session
		RequestID string
	}
)

func (Reply) effect()                  {}
func (AdmitSession) effect()           {}
func (CloseSession) effect()           {}
func (StartAttempt) effect()           {}
func (FetchPage) effect()              {}
func (CancelAttempt) effect()          {}
func (CancelIfUnsent) effect()         {}
func (ReleaseAttempt) effect()         {}
func (SetPriority) effect()            {}
func (ProbeLoad) effect()              {}
func (CancelUnsentAttempts) effect()   {}
func (CloseEngineConnections) effect() {}
func (SendGossip) effect()             {}
func (EngineEjected) effect()          {}
func (EngineRestored) effect()         {}
func (ResultInvalid) effect()          {}
func (InvariantViolation) effect()     {}
