package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/changelog"
	"wheatlane/internal/overload"
)

// Session identifies a client's connection by its connection id in the front protocol.
type Session uint32

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request uint64
	Number  int // from 0
}

// Request is a query sent by a client, with the fields of its statement.
type Request struct {
	RequestID         string // assigned by the client
	Class             string
	Tenant            string
	IdempotencyKey    string
	OrderKey          string
	DataSet           int           // number of the data set that it reads
	EstimatedWork     time.Duration // the client's estimate, on one thread; 0: none
	EstimatedMemoryMB float64       // the client's estimate; 0: none
	SentAt            time.Duration // estimated time at which the client sent it
	FirstOnConnection bool          // it is the first request on its connection
	Timeout           time.Duration // the client's timeout, from SentAt
	IsRetry           bool          // the client marked it as a retry
	Body              string
}

// Event is an input of the reducer. All exported events are declared in this file.
type Event interface{ event() }

// Events of clients.
type (
	// SessionOpened reports that a client has connected. The connection is not read before the effect AdmitSession.
	SessionOpened struct{ Session Session }
	// SessionAuthenticated reports that a client has logged in and may send commands.
	SessionAuthenticated struct{ Session Session }
	// SubmitRequest is the command to run a request. EarliestSentAt is the earliest time at which the request may have
	// been sent, if before Request.SentAt, else 0. The client's timeout may have begun then.
	SubmitRequest struct {
		Session        Session
		Request        Request
		EarliestSentAt time.Duration
	}
	// Ping is the command to report whether the broker can serve.
	Ping struct{ Session Session }
	// Kill is the command to end the open and queued requests of another session and, with CloseConnection, the session
	// too. It does not affect requests that the session sends after SentAt.
	Kill struct {
		RequestedBy, Target Session
		CloseConnection     bool
		SentAt              time.Duration
	}
	// ImmediateReply is a command, valid or not, whose reply the front protocol determines without the reducer. The
	// reply is sent in the order of the session's commands. A session that is idle after such a command is the first to
	// be evicted.
	ImmediateReply struct {
		Session Session
		Reply   Reply
	}
	// SessionClosed reports that a client's connection ended.
	SessionClosed struct{ Session Session }
	// SessionHalfClosed reports that a client will send no further command: it has shut down its write side or sent a
	// message after which nothing can be read. It may have disconnected or may still read: its requests are stopped but
	// answered, and the connection is closed afterwards.
	SessionHalfClosed struct{ Session Session }
	// MessageTimedOut reports that a client has not completed a message in time. It is reported again after each further
	// timeout until the message is complete or the session closed.
	MessageTimedOut struct{ Session Session }
	// MessageAbandoned reports that the memory of a message was needed for others before the message was complete. The
	// session sends no further command: it is closed once the commands before that message are answered.
	MessageAbandoned struct{ Session Session }
)

// Events of the other process of this broker.
type (
	// PeerKill is a KILL that a client sent to the other process, for a session of this one. RequestedBy is not set.
	PeerKill Kill
	// KillAnswered reports whether the other process knows the session of a KILL that was passed on to it
	// (PeerProcesses).
	KillAnswered struct {
		Session Session // that sent the KILL
		Known   bool
	}
)

// Events of engines.
type (
	// FirstPageReceived reports that an engine has run an attempt, with the first page of the result and the number of
	// pages.
	FirstPageReceived struct {
		Attempt   AttemptID
		PageCount int
		Work      time.Duration // measured by the engine, on one thread
		MemoryMB  float64       // measured by the engine
		Report    loadreport.Report
		Body      []byte
	}
	// PageReceived reports another page of a result.
	PageReceived struct {
		Attempt AttemptID
		Number  int // from 0
		Body    []byte
	}
	// AttemptEnded reports that an attempt ended without a result. The status determines whether it may have run. With
	// SharedCause, it ended because its connection ended, and another attempt on that connection was reported before.
	AttemptEnded struct {
		Attempt     AttemptID
		Status      control.Status
		Report      loadreport.Report
		SharedCause bool
	}
	// ProbeResult reports the response to a load probe, or its failure.
	ProbeResult struct {
		ProbeID uint64
		Status  control.Status
		Report  loadreport.Report
	}
)

// Events of the fleet and of operators.
type (
	// GossipReceived holds load reports sent by another broker.
	GossipReceived struct {
		Broker  int // index of the other broker
		Reports []control.GossipedLoad
	}
	// EndpointChanges is a page of the change log. WallOffset is the time by which the wall clock is ahead of the
	// reducer's time; it is 0 unless the wall clock was stepped.
	EndpointChanges struct {
		Page       changelog.Page
		WallOffset time.Duration
	}
	// StartMaintenance starts an engine's maintenance mode: no attempt starts there until EndMaintenance, whatever the
	// change log reports about the engine meanwhile. It has no effect on an engine that was never listed.
	StartMaintenance struct{ Engine string }
	// EndMaintenance ends an engine's maintenance mode.
	EndMaintenance struct{ Engine string }
	// RestoreMaintenance starts the maintenance mode of the engines that the previous process handed over, whether they
	// are listed or not.
	RestoreMaintenance struct{ Engines []string }
	// UpdateSettings applies the classes and limits of reloaded settings. Open requests keep the class that they were
	// accepted with; later requests of a removed class are answered with ReplyInvalidFields.
	UpdateSettings struct{ Settings control.Settings }
	// LimitResources limits the sessions and the memory that clients and engines can make the broker hold.
	LimitResources struct {
		MaxSessions int
		Memory      MemoryLimits
	}
	// OverloadChanged reports the level at which the broker protects itself against its memory limit. From StopAdmitting
	// on, new sessions are rejected; at RejectRequests, requests as well.
	OverloadChanged struct{ Level overload.Level }
	// EvictSessions closes sessions that may be evicted, up to a number of them.
	EvictSessions struct{ Count int }
	// Shutdown starts a graceful shutdown. Requests that are still open after the grace period get a final answer.
	Shutdown struct{ GracePeriod time.Duration }
	// SendFinalAnswers reports that all sessions are about to be closed. Open requests get a final answer now, and
	// later requests are rejected.
	SendFinalAnswers struct{}
)

func (SessionOpened) event()        {}
func (SessionAuthenticated) event() {}
func (PeerKill) event()             {}
func (KillAnswered) event()         {}
func (SubmitRequest) event()        {}
func (Ping) event()                 {}
func (Kill) event()                 {}
func (ImmediateReply) event()       {}
func (SessionClosed) event()        {}
func (SessionHalfClosed) event()    {}
func (MessageTimedOut) event()      {}
func (MessageAbandoned) event()     {}

func (FirstPageReceived) event() {}
func (PageReceived) event()      {}
func (AttemptEnded) event()      {}
func (ProbeResult) event()       {}

func (GossipReceived) event()     {}
func (EndpointChanges) event()    {}
func (StartMaintenance) event()   {}
func (EndMaintenance) event()     {}
func (RestoreMaintenance) event() {}
func (UpdateSettings) event()     {}
func (LimitResources) event()     {}
func (OverloadChanged) event()    {}
func (EvictSessions) event()      {}
func (Shutdown) event()           {}
func (SendFinalAnswers) event()   {}
