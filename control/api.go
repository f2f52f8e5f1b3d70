// Package control decides when and where an admission controller sends the
// queries it has taken to a pool of engines. It performs no I/O, reads no
// clock and starts no goroutine: events go in, actions come out.
package control

import (
	"hash/fnv"
	"time"
)

// Effect says what a repeat of a query does.
type Effect int

// The kinds of effect.
const (
	Repeatable Effect = iota // may run any number of times
	Keyed                    // repeats are dropped within a scope for a time
	Once                     // must not run twice
)

// Scope is the group of engines that drops repeats of a keyed query.
type Scope int

// The scopes of a keyed effect.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of query.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within it earns the full worth
	GiveUp     time.Duration // clients wait no longer; 0: not told
	AimStretch float64       // the aim grows by this times work per thread
	Worth      float64
	LateWorth  float64 // part of the worth earned after the aim
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long repeats of a keyed query are dropped
	Ordered    bool          // queries of one key run one at a time, in order
	Zones      []string      // if set, the only zones allowed
	Kinds      []string      // if set, the only kinds allowed
	Threads    int           // threads that a query runs on
	Load       bool          // holds its data set on its engine while it runs
	Waits      bool          // stands still while a load holds its data set
}

// Tenant describes one customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // queries a second within its share, over all gateways
}

// Kind describes one kind of engine.
type Kind struct {
	Cores    float64
	MemoryMB float64
}

// Limits says what a deployment allows.
type Limits struct {
	MaxAttempts  int
	MaxRetryWait time.Duration // longest wait that clients follow
	RetryHints   bool          // clients are told how long to stay away
	Cancel       bool          // attempts may be cancelled
	Copies       bool          // two attempts of a query may be out at once
	Probing      bool          // engines may be probed
	Peers        bool          // gateways may tell one another
}

// Rules holds the figures of the rules.
type Rules struct {
	AskEvery     time.Duration // longest time between asks for the list
	ColdFrom     float64       // least part of its capacity that a cold engine has
	WarmAfter    time.Duration
	FallMultiple float64
	FallWindow   time.Duration
	KeyRest      time.Duration
	BudgetWindow time.Duration // 0: further attempts are not rationed
	BudgetShare  float64
	BudgetFree   float64
}

// Settings is what a controller is told at its start.
type Settings struct {
	Gateways      int
	Gateway       int           // the number of this one, from 0
	Zone          string        // the zone of this gateway
	Round         time.Duration // shortest time between two calls of Handle
	Classes       []Class
	Tenants       []Tenant
	Kinds         map[string]Kind
	GrantCap      float64 // largest part of an engine's memory for one query
	Grants        bool    // memory grants are heeded
	Priorities    bool    // priorities are heeded
	NotesEvery    time.Duration
	CostTold      bool          // answers tell work and memory
	WorthByWork   bool          // worth grows with the work of a query; else each of a class is worth the same
	ReportFields  []string      // the values of a load report, in their order
	SendLate      time.Duration // an attempt may leave so long after it is sent from here; 0 where it leaves at once
	ListOnRequest bool          // the list of engines must be asked for
	Limits        Limits
	Rules         Rules
}

// Query is a request taken from a client.
type Query struct {
	ID       string
	Class    string
	Tenant   string
	Key      string // set for ordered classes
	Tables   int    // the data set it reads
	Deadline time.Duration
	Work     time.Duration // estimated work on one thread; 0: not told
	MemoryMB float64       // estimated memory; 0: not told
}

// EngineState is what the list says of an engine.
type EngineState int

// The states of an engine.
const (
	Ready EngineState = iota
	Draining
	Gone
)

// Engine is one entry of the list of engines.
type Engine struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     EngineState
	StartedAt time.Duration // 0: long ago
}

// Status is the way an attempt ended.
type Status int

// The ways an attempt ends.
const (
	OK Status = iota
	Failed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// NoteKind is the subject of a Note.
type NoteKind int

// The kinds of note.
const (
	Progress NoteKind = iota + 1
	Spill
	Waiting
)

// ListKind is the kind of news about the list of engines.
type ListKind int

// The kinds of list news.
const (
	Delta ListKind = iota
	Whole
	AskFailed
)

// LoadReport is an engine's load as it reported it to one of the gateways, and how long ago.
type LoadReport struct {
	Engine uint32 // Mark of its ID
	Load   float64
	Age    time.Duration
}

// Mark stands for an engine's ID between gateways, in four bytes.
func Mark(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id)) //nolint:errcheck // it never fails
	return h.Sum32()
}

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// Arrival is a new query.
	Arrival struct{ Query Query }
	// ClientGone ends a query from the client's side.
	ClientGone struct{ Query string }
	// Attempt is the result of one attempt of a query, named by its engine and number.
	Attempt struct {
		Query    string
		Number   int
		Engine   string
		Status   Status
		Took     time.Duration
		Closed   bool // the query has its final answer
		Shared   bool // it ended for a reason that another attempt's end has told of already
		Work     time.Duration
		MemoryMB float64
		Report   []float64
	}
	// Started says that the answer's stream has begun; its client's deadline no longer runs.
	Started struct{ Query string }
	// Note is news of a running attempt.
	Note struct {
		Query  string
		Number int
		Engine string
		Kind   NoteKind
		Value  float64
	}
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Engine string
		Status Status
		Took   time.Duration
		Report []float64
	}
	// Heard is what another gateway told.
	Heard struct {
		Gateway int
		Reports []LoadReport
	}
	// List is news about the list of engines.
	List struct {
		Kind    ListKind
		Engines []Engine
	}
	// Timer returns the token of a SetTimer.
	Timer struct{ Token uint64 }
	// Ban leaves an engine out by hand (Down), or lets it in again: while it is out, nothing new goes to it,
	// whatever the list says of it. It may name an engine that the list has not named yet.
	Ban struct {
		Engine string
		Down   bool
	}
)

func (Arrival) event()     {}
func (ClientGone) event()  {}
func (Attempt) event()     {}
func (Started) event()     {}
func (Note) event()        {}
func (ProbeResult) event() {}
func (Heard) event()       {}
func (List) event()        {}
func (Timer) event()       {}
func (Ban) event()         {}

// Action is one thing to do; see the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a query. Timeout 0 means the client's deadline. Due is how long its answer
	// may take before it is likelier lost than late; 0: not said.
	Send struct {
		Query   string
		Engine  string
		Timeout time.Duration
		Due     time.Duration
	}
	// Refuse is a final answer that invites the client to try again.
	Refuse struct {
		Query   string
		RetryIn time.Duration
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Query string }
	// Cancel calls an attempt off.
	Cancel struct {
		Query  string
		Number int
	}
	// Terms names memory and priority for the next attempts of a query.
	Terms struct {
		Query    string
		GrantMB  float64
		Priority int
	}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// Probe asks an engine for its load.
	Probe struct{ Engine string }
	// Tell tells another gateway of engines' loads, once and with no answer.
	Tell struct {
		Gateway int
		Reports []LoadReport
	}
	// Watch subscribes to changes of the list.
	Watch struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Send) action()     {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (Cancel) action()   {}
func (Terms) action()    {}
func (SetTimer) action() {}
func (Probe) action()    {}
func (Tell) action()     {}
func (Watch) action()    {}
func (Log) action()      {}
