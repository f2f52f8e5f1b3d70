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

// Attempt names one attempt of a request.
type Attempt struct {
	Request uint64
	Number  int
}

// Request is what a client asks for.
type Request struct {
	Ref      string // the client's id for it
	Class    string
	Tenant   string
	Idem     string // idempotency key
	Order    string // order key
	Group    int    // group of tables
	Work     time.Duration
	MemoryMB float64
	Sent     time.Duration // when the client wrote it, as far as can be told
	Fresh    bool          // nothing came on its connection before
	Allow    time.Duration // how long the client waits from then
	Again    bool          // the client says that it is a retry
	Body     string
}

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// Connected says that a client has connected. Nothing of it is read before the effect Admit.
	Connected struct{ Session Session }
	// LoggedIn says that a client is one that may ask.
	LoggedIn struct{ Session Session }
	// Submit is a request of a session.
	Submit struct {
		Session Session
		Request Request
	}
	// Ping asks whether the broker can serve.
	Ping struct{ Session Session }
	// Kill ends what a session has open, or the session as well. By asks for it; it was written at Sent.
	Kill struct {
		By, Target Session
		Connection bool
		Sent       time.Duration
	}
	// Bad is a message that can't be used; it is answered in its turn.
	Bad struct {
		Session Session
		Reply   Reply
	}
	// SessionClosed says that a client's connection ended.
	SessionClosed struct{ Session Session }
	// HalfClosed says that a client will write nothing more. That can't be told from one that has left, so nothing more is
	// done for it; but it may still read, so what it is owed is answered. Its connection is to end after that.
	HalfClosed struct{ Session Session }
	// Served is the good end of an attempt at its engine: the first page, and how many there are.
	Served struct {
		Attempt  Attempt
		Pages    int
		Work     time.Duration
		MemoryMB float64
		Report   []float64
		Body     []byte
	}
	// Page is a further page of a result.
	Page struct {
		Attempt Attempt
		Number  int
		Body    []byte
	}
	// Ended says how an attempt ended without a result. Status proves that it never ran, or does not. Shared says
	// that it ended with its connection, of which another attempt tells.
	Ended struct {
		Attempt Attempt
		Status  control.Status
		Report  []float64
		Shared  bool
	}
	// Probed is the answer to a probe, or its failure.
	Probed struct {
		Tag    uint64
		Status control.Status
		Report []float64
	}
	// Heard is what another broker told.
	Heard struct {
		From    int // its number
		Reports []control.LoadReport
	}
	// Changes is what the change log says.
	Changes struct{ Page changelog.Page }
	// Stop asks the broker to finish what it has taken within a time.
	Stop struct{ Within time.Duration }
	// Parting says that all sessions are being parted with: whatever is still open is answered now, and what is asked
	// from then on is refused and never sent on.
	Parting struct{}
)

func (Connected) event()     {}
func (LoggedIn) event()      {}
func (Submit) event()        {}
func (Ping) event()          {}
func (Kill) event()          {}
func (Bad) event()           {}
func (SessionClosed) event() {}
func (HalfClosed) event()    {}
func (Served) event()        {}
func (Page) event()          {}
func (Ended) event()         {}
func (Probed) event()        {}
func (Heard) event()         {}
func (Changes) event()       {}
func (Stop) event()          {}
func (Parting) event()       {}

// Effect is one thing to do; see the types below.
type Effect interface{ effect() }

// Kind is the kind of a reply.
type Kind int

// The kinds of reply.
const (
	Result      Kind = iota // served: Pages hold the rows
	Done                    // done, nothing to say
	Refused                 // trying again is harmless; Cooldown is when
	Failed                  // nothing is promised
	Interrupted             // killed by a client
	NotReady                // the broker can't serve
	BadFields               // a field of the request can't be used
	BadCommand              // the command is not known here
	NoSession               // the session to kill is not here
	NoDatabase              // the database is not here
	Crowded                 // there are too many sessions
)

// Close is why the reducer ends a session.
type Close int

// The reasons to end a session.
const (
	Killed   Close = iota // a client asked for it, or it asked too much ahead
	MadeRoom              // it said nothing for long while there were too many
	NoRoom                // there are too many, and all are busy
)

type (
	// Reply answers what a session asked.
	Reply struct {
		Session  Session
		Kind     Kind
		Pages    [][]byte
		Text     string
		Cooldown time.Duration
	}
	// Admit lets a client in: it is greeted and read.
	Admit struct{ Session Session }
	// CloseSession ends a client's connection, once what was written to it has left.
	CloseSession struct {
		Session Session
		Why     Close
	}
	// Want sends an attempt to an engine.
	Want struct {
		Attempt  Attempt
		Engine   string
		Addr     string
		Ref      string
		Class    string
		Idem     string
		Patience time.Duration
		Due      time.Duration // the module's: later, its answer is likelier lost than late; 0: not said
		GrantMB  float64
		Priority int
		Body     string
	}
	// Turn asks for a further page.
	Turn struct {
		Attempt Attempt
		Page    int
	}
	// GiveUp calls an attempt off. Ended follows once an engine can have been told.
	GiveUp struct{ Attempt Attempt }
	// Withdraw takes back an attempt whose request is over, if nothing of it has left; Ended follows then. One that
	// has begun to leave goes on.
	Withdraw struct{ Attempt Attempt }
	// Forget lets go of an attempt whose result is whole or not wanted; Shut says that pages are left.
	Forget struct {
		Attempt Attempt
		Shut    bool
	}
	// Hurry changes the priority of an attempt that is out.
	Hurry struct {
		Attempt  Attempt
		Priority int
	}
	// Probe asks an engine for its load.
	Probe struct {
		Tag          uint64
		Engine, Addr string
	}
	// Tell sends another broker, by its number, a datagram of these reports.
	Tell struct {
		To      int
		Reports []control.LoadReport
	}
	// DropUnsent ends attempts that wait for a connection to an engine that drains.
	DropUnsent struct{ Engine string }
	// DropEngine closes the connections to an engine that is gone, has restarted or lost its address: those begun before
	// a time, or all of them if that is 0. One begun since an engine has restarted is to the new process.
	DropEngine struct {
		Engine string
		Before time.Duration
	}
	// Note is a line for the log.
	Note struct{ Text string }
)

func (Reply) effect()        {}
func (Admit) effect()        {}
func (CloseSession) effect() {}
func (Want) effect()         {}
func (Turn) effect()         {}
func (GiveUp) effect()       {}
func (Withdraw) effect()     {}
func (Forget) effect()       {}
func (Hurry) effect()        {}
func (Probe) effect()        {}
func (Tell) effect()         {}
func (DropUnsent) effect()   {}
func (DropEngine) effect()   {}
func (Note) effect()         {}
