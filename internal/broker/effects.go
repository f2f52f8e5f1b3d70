package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/outlier"
	"wheatlane/internal/invariant"
)

// Effect is an action for the owner of the reducer. All effects are declared in this file.
type Effect interface{ effect() }

// ReplyKind is the kind of a reply.
type ReplyKind int

// The kinds of reply.
const (
	ReplyResult          ReplyKind = iota // served: Pages hold the rows
	ReplyOK                               // success of a command without a result
	ReplyRejected                         // not run, or idempotent: may be retried, after RetryAfter
	ReplyFailed                           // it may have run
	ReplyInterrupted                      // killed by a client
	ReplyNotReady                         // no engine is ready, or the broker shuts down
	ReplyInvalidFields                    // a field of the request can't be used
	ReplyUnknownCommand                   // the front protocol does not know the command
	ReplyUnknownSession                   // the session to kill does not exist
	ReplyUnknownDatabase                  // the database does not exist
	ReplyTooManySessions                  // the limit of sessions is reached
)

// CloseReason is why the reducer closes a session.
type CloseReason int

// The reasons to close a session.
const (
	CloseKilled          CloseReason = iota // killed by a client, or too many commands queued
	CloseEvictedIdle                        // idle while the limit of sessions was reached
	CloseTooManySessions                    // the limit of sessions was reached, and none was idle
)

// Effects for clients.
type (
	// Reply answers a command of a session.
	Reply struct {
		Session    Session
		Kind       ReplyKind
		Pages      [][]byte
		Text       string
		RetryAfter time.Duration
	}
	// AdmitSession admits a client: its connection is greeted and read.
	AdmitSession struct{ Session Session }
	// CloseSession closes a client's connection after the bytes written to it were sent.
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
		OverdueAfter   time.Duration // from the start; after it, the answer is more likely lost than late; 0: unknown
		GrantMB        float64
		Priority       int
		Body           string
	}
	// FetchPage asks the engine of an attempt for a further page of its result.
	FetchPage struct {
		Attempt AttemptID
		Page    int
	}
	// CancelAttempt cancels an attempt. AttemptEnded follows once the cancel was sent to the engine.
	CancelAttempt struct{ Attempt AttemptID }
	// CancelIfUnsent withdraws an attempt whose request is closed, if no byte of it was sent; AttemptEnded
	// follows in that case. A partly sent attempt continues.
	CancelIfUnsent struct{ Attempt AttemptID }
	// ReleaseAttempt drops an attempt whose result is complete or discarded. With PagesLeft, the engine
	// still holds pages of the result.
	ReleaseAttempt struct {
		Attempt   AttemptID
		PagesLeft bool
	}
	// SetPriority changes the priority of an attempt in flight.
	SetPriority struct {
		Attempt  AttemptID
		Priority int
	}
	// ProbeLoad asks an engine for its load. ProbeResult follows with the same ProbeID.
	ProbeLoad struct {
		ProbeID      uint64
		Engine, Addr string
	}
	// CancelUnsentAttempts ends the attempts of which nothing has left for an engine that drains or is in maintenance.
	CancelUnsentAttempts struct{ Engine string }
	// CloseEngineConnections closes connections to an engine that was removed, restarted or lost its address.
	// With DialedBefore, later connections stay open: they are to the restarted process.
	CloseEngineConnections struct {
		Engine       string
		DialedBefore time.Duration
	}
)

// Effects for other brokers and operators.
type (
	// SendGossip sends load reports to another broker, by its index.
	SendGossip struct {
		Broker  int
		Reports []control.GossipedLoad
	}
	// EngineEjected logs that the decision module ejected an engine.
	EngineEjected struct {
		Engine string
		Reason outlier.Reason
	}
	// EngineRestored logs that an ejected engine gets attempts again.
	EngineRestored struct{ Engine string }
	// ResultInvalid logs that an attempt failed because of its result.
	ResultInvalid struct {
		Engine string
		Err    error // one of those of package resultpages
	}
	// InvariantViolation logs that a rule would have been, or was, broken for a request.
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
