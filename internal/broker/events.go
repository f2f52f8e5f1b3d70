package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/changelog"
)

// Session is a client's connection, by the number that the client knows it by.
type Session uint32

// AttemptID names one attempt of a request.
type AttemptID struct {
	Request uint64
	Number  int // from 0
}

// Request is a query that a client sends, with the fields of its statement.
type Request struct {
	RequestID         string // the client's id for it
	Class             string
	Tenant            string
	IdempotencyKey    string
	OrderKey          string
	DataSet           int           // the group of tables that it reads
	EstimatedWork     time.Duration // the client's estimate, on one thread; 0: none
	EstimatedMemoryMB float64       // the client's estimate; 0: none
	SentAt            time.Duration // when the client sent it, by the best estimate
	FirstOnConnection bool          // nothing came on its connection before
	Timeout           time.Duration // how long the client waits from SentAt
	IsRetry           bool          // the client marked it as a retry
	Body              string
}

// Event is something that happened. All events are declared in this file.
type Event interface{ event() }

// Events of clients.
type (
	// SessionOpened reports that a client has connected. Nothing of it is read before the effect AdmitSession.
	SessionOpened struct{ Session Session }
	// SessionAuthenticated reports that a client has logged in and may send commands.
	SessionAuthenticated struct{ Session Session }
	// SubmitRequest is the command to run a request. WaitingSince is the earliest time at which it may have been sent,
	// if that is earlier than Request.SentAt; 0: it is not. The client's timeout may run from there.
	SubmitRequest struct {
		Session        Session
		Request        Request
		EarliestSentAt time.Duration
	}
	// Ping is the command to report whether the broker can serve.
	Ping struct{ Session Session }
	// Kill is the command to end the open and the queued requests of another session and, with
	// CloseConnection, the session too. Requests that the session sends after SentAt are not affected.
	Kill struct {
		RequestedBy, Target Session
		CloseConnection     bool
		SentAt              time.Duration
	}
	// ImmediateReply is a command, valid or not, to which the front protocol alone determines the reply. The reply
	// keeps the order of the session's commands. A session that is idle after it is the first to be evicted.
	ImmediateReply struct {
		Session Session
		Reply   Reply
	}
	// SessionClosed reports that a client's connection ended.
	SessionClosed struct{ Session Session }
	// SessionHalfClosed reports that a client has closed its sending direction. Such a client may have left or
	// may still read: its requests are not run any further, but they are answered. Its connection is closed
	// after that.
	SessionHalfClosed struct{ Session Session }
)

// Events of engines.
type (
	// FirstPageReceived reports that an attempt succeeded at its engine: the first page of the result, and the
	// number of pages.
	FirstPageReceived struct {
		Attempt   AttemptID
		PageCount int
		Work      time.Duration // measured by the engine, on one thread
		MemoryMB  float64       // measured by the engine
		Report    loadreport.Report
		Body      []byte
	}
	// PageReceived is a further page of a result.
	PageReceived struct {
		Attempt AttemptID
		Number  int // from 0
		Body    []byte
	}
	// AttemptEnded reports that an attempt ended without a result. The status determines whether it may have
	// run. With SharedCause, it ended with its connection, and the end of another attempt on that was
	// reported before.
	AttemptEnded struct {
		Attempt     AttemptID
		Status      control.Status
		Report      loadreport.Report
		SharedCause bool
	}
	// ProbeResult is the answer to a load probe, or its failure.
	ProbeResult struct {
		ProbeID uint64
		Status  control.Status
		Report  loadreport.Report
	}
)

// Events of the fleet and of operators.
type (
	// GossipReceived holds load reports that another broker sent.
	GossipReceived struct {
		Broker  int // its index
		Reports []control.GossipedLoad
	}
	// EndpointChanges is a page of the change log. WallOffset is by how much the wall clock is ahead of the time
	// that the reducer is given: 0 unless it was stepped.
	EndpointChanges struct {
		Page       changelog.Page
		WallOffset time.Duration
	}
	// StartMaintenance sets an engine's maintenance mode: no attempt starts there until EndMaintenance,
	// whatever the change log reports of it meanwhile. It has no effect on an engine that was never listed.
	StartMaintenance struct{ Engine string }
	// EndMaintenance ends an engine's maintenance mode.
	EndMaintenance struct{ Engine string }
	// RestoreMaintenance sets the maintenance mode of the engines that the previous process handed over,
	// whether listed or not.
	RestoreMaintenance struct{ Engines []string }
	// UpdateSettings puts the classes and limits of reloaded settings in force. Requests under way keep the
	// class that they were accepted with; later ones of a class that was removed are answered with ReplyInvalidFields.
	UpdateSettings struct{ Settings control.Settings }
	// Shutdown starts a graceful shutdown: after the given time, all open requests get a final answer.
	Shutdown struct{ GracePeriod time.Duration }
	// SendFinalAnswers reports that all sessions are about to be closed. Open requests get their final answer
	// now, and later requests are rejected.
	SendFinalAnswers struct{}
)

func (SessionOpened) event()        {}
func (SessionAuthenticated) event() {}
func (SubmitRequest) event()        {}
func (Ping) event()                 {}
func (Kill) event()                 {}
func (ImmediateReply) event()       {}
func (SessionClosed) event()        {}
func (SessionHalfClosed) event()    {}

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
func (Shutdown) event()           {}
func (SendFinalAnswers) event()   {}
