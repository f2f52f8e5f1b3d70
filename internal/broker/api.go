// Package broker holds all state of a broker in one reducer: Apply takes what happened, Tick runs a round of
// the decision module, and both return the effects to carry out. It performs no I/O, reads no clock and
// starts no goroutine. Times are those of the system's Unix clock.
//
// What it takes and gives is neutral: a front protocol turns its messages into Submit, Ping and Kill and
// turns a Reply back, so that a second one would share every decision and rule.
package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// Session is a client's connection, by the number that the client knows it by.
type Session uint32

// AttemptID names one attempt of a request.
type AttemptID struct {
	Request uint64
	Number  int
}

// Request is what a client asks for.
type Request struct {
	RequestID         string // the client's id for it
	Class             string
	Tenant            string
	IdempotencyKey    string // idempotency key
	OrderKey          string // order key
	DataSet           int    // group of tables
	EstimatedWork     time.Duration
	EstimatedMemoryMB float64
	SentAt            time.Duration // when the client wrote it, as far as can be told
	FirstOnConnection bool          // nothing came on its connection before
	Timeout           time.Duration // how long the client waits from then
	IsRetry           bool          // the client says that it is a retry
	Body              string
}

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// SessionOpened says that a client has connected. Nothing of it is read before the effect Admit.
	SessionOpened struct{ Session Session }
	// SessionAuthenticated says that a client is one that may ask.
	SessionAuthenticated struct{ Session Session }
	// SubmitRequest is a request of a session.
	SubmitRequest struct {
		Session Session
		Request Request
	}
	// Ping asks whether the broker can serve.
	Ping struct{ Session Session }
	// Kill ends what a session has open, or the session as well. By asks for it; it was written at Sent.
	Kill struct {
		RequestedBy, Target Session
		CloseConnection     bool
		SentAt              time.Duration
	}
	// InvalidRequest is a message that can't be used; it is answered in its turn.
	InvalidRequest struct {
		Session Session
		Reply   Reply
	}
	// SessionClosed says that a client's connection ended.
	SessionClosed struct{ Session Session }
	// SessionHalfClosed says that a client will write nothing more. That can't be told from one that has left, so nothing more is
	// done for it; but it may still read, so what it is owed is answered. Its connection is to end after that.
	SessionHalfClosed struct{ Session Session }
	// AttemptServed is the good end of an attempt at its engine: the first page, and how many there are.
	AttemptServed struct {
		Attempt   AttemptID
		PageCount int
		Work      time.Duration
		MemoryMB  float64
		Report    []float64
		Body      []byte
	}
	// PageReceived is a further page of a result.
	PageReceived struct {
		Attempt AttemptID
		Number  int
		Body    []byte
	}
	// AttemptEnded says how an attempt ended without a result. Status proves that it never ran, or does not. Shared says
	// that it ended with its connection, of which another attempt tells.
	AttemptEnded struct {
		Attempt     AttemptID
		Status      control.Status
		Report      []float64
		SharedCause bool
	}
	// ProbeResult is the answer to a probe, or its failure.
	ProbeResult struct {
		ProbeID uint64
		Status  control.Status
		Report  []float64
	}
	// GossipReceived is what another broker told.
	GossipReceived struct {
		Broker  int // its number
		Reports []control.LoadReport
	}
	// EndpointChanges is what the change log says.
	EndpointChanges struct{ Page changelog.Page }
	// Shutdown asks the broker to finish what it has taken within a time.
	Shutdown struct{ Within time.Duration }
	// SendFinalAnswers says that all sessions are being parted with: whatever is still open is answered now, and what is asked
	// from then on is refused and never sent on.
	SendFinalAnswers struct{}
)

func (SessionOpened) event()        {}
func (SessionAuthenticated) event() {}
func (SubmitRequest) event()        {}
func (Ping) event()                 {}
func (Kill) event()                 {}
func (InvalidRequest) event()       {}
func (SessionClosed) event()        {}
func (SessionHalfClosed) event()    {}
func (AttemptServed) event()        {}
func (PageReceived) event()         {}
func (AttemptEnded) event()         {}
func (ProbeResult) event()          {}
func (GossipReceived) event()       {}
func (EndpointChanges) event()      {}
func (Shutdown) event()             {}
func (SendFinalAnswers) event()     {}

// Effect is one thing to do; see the types below.
type Effect interface{ effect() }

// ReplyKind is the kind of a reply.
type ReplyKind int

// The kinds of reply.
const (
	ReplyResult          ReplyKind = iota // served: Pages hold the rows
	ReplyOK                               // done, nothing to say
	ReplyRejected                         // trying again is harmless; Cooldown is when
	ReplyFailed                           // nothing is promised
	ReplyInterrupted                      // killed by a client
	ReplyNotReady                         // the broker can't serve
	ReplyInvalidFields                    // a field of the request can't be used
	ReplyUnknownCommand                   // the command is not known here
	ReplyUnknownSession                   // the session to kill is not here
	ReplyUnknownDatabase                  // the database is not here
	ReplyTooManySessions                  // there are too many sessions
)

// CloseReason is why the reducer ends a session.
type CloseReason int

// The reasons to end a session.
const (
	CloseKilled          CloseReason = iota // a client asked for it, or it asked too much ahead
	CloseEvictedIdle                        // it said nothing for long while there were too many
	CloseTooManySessions                    // there are too many, and all are busy
)

type (
	// Reply answers what a session asked.
	Reply struct {
		Session    Session
		Kind       ReplyKind
		Pages      [][]byte
		Text       string
		RetryAfter time.Duration
	}
	// AdmitSession lets a client in: it is greeted and read.
	AdmitSession struct{ Session Session }
	// CloseSession ends a client's connection, once what was written to it has left.
	CloseSession struct {
		Session Session
		Reason  CloseReason
	}
	// StartAttempt sends an attempt to an engine.
	StartAttempt struct {
		Attempt        AttemptID
		Engine         string
		Addr           string
		RequestID      string
		Class          string
		IdempotencyKey string
		Timeout        time.Duration
		OverdueAfter   time.Duration // the module's: later, its answer is likelier lost than late; 0: not said
		GrantMB        float64
		Priority       int
		Body           string
	}
	// FetchPage asks for a further page.
	FetchPage struct {
		Attempt AttemptID
		Page    int
	}
	// CancelAttempt calls an attempt off. Ended follows once an engine can have been told.
	CancelAttempt struct{ Attempt AttemptID }
	// WithdrawUnsent takes back an attempt whose request is over, if nothing of it has left; Ended follows then. One that
	// has begun to leave goes on.
	WithdrawUnsent struct{ Attempt AttemptID }
	// ReleaseAttempt lets go of an attempt whose result is whole or not wanted; Shut says that pages are left.
	ReleaseAttempt struct {
		Attempt   AttemptID
		PagesLeft bool
	}
	// SetPriority changes the priority of an attempt that is out.
	SetPriority struct {
		Attempt  AttemptID
		Priority int
	}
	// ProbeLoad asks an engine for its load.
	ProbeLoad struct {
		ProbeID      uint64
		Engine, Addr string
	}
	// SendGossip sends another broker, by its number, a datagram of these reports.
	SendGossip struct {
		Broker  int
		Reports []control.LoadReport
	}
	// CancelUnsent ends attempts that wait for a connection to an engine that drains.
	CancelUnsent struct{ Engine string }
	// CloseEngineConnections closes the connections to an engine that is gone, has restarted or lost its address: those begun before
	// a time, or all of them if that is 0. One begun since an engine has restarted is to the new process.
	CloseEngineConnections struct {
		Engine       string
		DialedBefore time.Duration
	}
	// LogLine is a line for the log.
	LogLine struct{ Text string }
)

func (Reply) effect()                  {}
func (AdmitSession) effect()           {}
func (CloseSession) effect()           {}
func (StartAttempt) effect()           {}
func (FetchPage) effect()              {}
func (CancelAttempt) effect()          {}
func (WithdrawUnsent) effect()         {}
func (ReleaseAttempt) effect()         {}
func (SetPriority) effect()            {}
func (ProbeLoad) effect()              {}
func (SendGossip) effect()             {}
func (CancelUnsent) effect()           {}
func (CloseEngineConnections) effect() {}
func (LogLine) effect()                {}
