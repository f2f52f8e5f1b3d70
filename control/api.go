// Package control decides when and where an admission controller sends the
// queries it has taken to a pool of engines. It performs no I/O, reads no
// clock and starts no goroutine: events go in, actions come out.
package control

import (
	"hash/fnv"
	"time"
)

// Idempotency says what a repeat of a query does.
type Idempotency int

// The kinds of effect.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within a scope for a time
	NonIdempotent                        // must not run twice
)

// DedupScope is the group of engines that drops repeats of a keyed query.
type DedupScope int

// The scopes of a keyed effect.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class describes one class of query.
type Class struct {
	Name                 string
	LatencyObjective     time.Duration // an answer within it earns the full worth
	ClientTimeout        time.Duration // clients wait no longer; 0: not told
	ObjectivePerWork     float64       // the aim grows by this times work per thread
	PriorityWeight       float64
	LateWeight           float64 // part of the worth earned after the aim
	Idempotency          Idempotency
	DedupScope           DedupScope
	DedupWindow          time.Duration // how long repeats of a keyed query are dropped
	Ordered              bool          // queries of one key run one at a time, in order
	AllowedZones         []string      // if set, the only zones allowed
	AllowedKinds         []string      // if set, the only kinds allowed
	Threads              int           // threads that a query runs on
	HoldsDataSetLock     bool          // holds its data set on its engine while it runs
	BlockedByDataSetLock bool          // stands still while a load holds its data set
}

// Tenant describes one customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // queries a second within its share, over all gateways
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// Limits says what a deployment allows.
type Limits struct {
	MaxAttempts   int
	MaxRetryAfter time.Duration // longest wait that clients follow
	RetryAfter    bool          // clients are told how long to stay away
	Cancellation  bool          // attempts may be cancelled
	Hedging       bool          // two attempts of a query may be out at once
	LoadProbes    bool          // engines may be probed
	Gossip        bool          // gateways may tell one another
}

// Rules holds the figures of the rules.
type Rules struct {
	MaxPollInterval    time.Duration // longest time between asks for the list
	SlowStartInitial   float64       // least part of its capacity that a cold engine has
	SlowStartDuration  time.Duration
	OverloadMultiple   float64
	OverloadWindow     time.Duration
	KeyCooldown        time.Duration
	RetryBudgetWindow  time.Duration // 0: further attempts are not rationed
	RetryBudgetRatio   float64
	RetryBudgetReserve float64
}

// Settings is what a controller is told at its start.
type Settings struct {
	Brokers          int
	BrokerIndex      int           // the number of this one, from 0
	Zone             string        // the zone of this gateway
	MinBatchInterval time.Duration // shortest time between two calls of Handle
	Classes          []Class
	Tenants          []Tenant
	EngineKinds      map[string]EngineKind
	MaxGrantFraction float64 // largest part of an engine's memory for one query
	MemoryGrants     bool    // memory grants are heeded
	Priorities       bool    // priorities are heeded
	ProgressInterval time.Duration
	ReportsCost      bool          // answers tell work and memory
	WeightByWork     bool          // worth grows with the work of a query; else each of a class is worth the same
	ReportFields     []string      // the values of a load report, in their order
	MaxSendDelay     time.Duration // an attempt may leave so long after it is sent from here; 0 where it leaves at once
	PollEndpointList bool          // the list of engines must be asked for
	Limits           Limits
	Rules            Rules
}

// Request is a request taken from a client.
type Request struct {
	ID                string
	Class             string
	Tenant            string
	OrderKey          string // set for ordered classes
	DataSet           int    // the data set it reads
	Deadline          time.Duration
	EstimatedWork     time.Duration // estimated work on one thread; 0: not told
	EstimatedMemoryMB float64       // estimated memory; 0: not told
}

// EngineState is what the list says of an engine.
type EngineState int

// The states of an engine.
const (
	Ready EngineState = iota
	Draining
	Removed
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
	AtCapacity
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NeverSent
)

// ProgressKind is the subject of a Note.
type ProgressKind int

// The kinds of note.
const (
	ProgressFraction ProgressKind = iota + 1
	ProgressSpilled
	ProgressBlocked
)

// EndpointUpdateKind is the kind of news about the list of engines.
type EndpointUpdateKind int

// The kinds of list news.
const (
	EndpointDelta EndpointUpdateKind = iota
	EndpointSnapshot
	EndpointPollFailed
)

// LoadReport is an engine's load as it reported it to one of the gateways, and how long ago.
type LoadReport struct {
	Engine uint32 // Mark of its ID
	Load   float64
	Age    time.Duration
}

// EngineHash stands for an engine's ID between gateways, in four bytes.
func EngineHash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id)) //nolint:errcheck // it never fails
	return h.Sum32()
}

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// RequestReceived is a new query.
	RequestReceived struct{ Request Request }
	// ClientDisconnected ends a query from the client's side.
	ClientDisconnected struct{ RequestID string }
	// AttemptEnded is the result of one attempt of a query, named by its engine and number.
	AttemptEnded struct {
		RequestID     string
		Number        int
		Engine        string
		Status        Status
		Duration      time.Duration
		RequestClosed bool // the query has its final answer
		SharedCause   bool // it ended for a reason that another attempt's end has told of already
		Work          time.Duration
		MemoryMB      float64
		Report        []float64
	}
	// ResponseStarted says that the answer's stream has begun; its client's deadline no longer runs.
	ResponseStarted struct{ RequestID string }
	// AttemptProgress is news of a running attempt.
	AttemptProgress struct {
		RequestID string
		Number    int
		Engine    string
		Kind      ProgressKind
		Value     float64
	}
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Engine   string
		Status   Status
		Duration time.Duration
		Report   []float64
	}
	// GossipReceived is what another gateway told.
	GossipReceived struct {
		Broker  int
		Reports []LoadReport
	}
	// EndpointUpdate is news about the list of engines.
	EndpointUpdate struct {
		Kind    EndpointUpdateKind
		Engines []Engine
	}
	// TimerFired returns the token of a SetTimer.
	TimerFired struct{ Token uint64 }
	// SetMaintenance leaves an engine out by hand (Down), or lets it in again: while it is out, nothing new goes to it,
	// whatever the list says of it. It may name an engine that the list has not named yet.
	SetMaintenance struct {
		Engine  string
		Enabled bool
	}
)

func (RequestReceived) event()    {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (AttemptProgress) event()    {}
func (ProbeResult) event()        {}
func (GossipReceived) event()     {}
func (EndpointUpdate) event()     {}
func (TimerFired) event()         {}
func (SetMaintenance) event()     {}

// Action is one thing to do; see the types below.
type Action interface{ action() }

type (
	// SendAttempt starts the next attempt of a query. Timeout 0 means the client's deadline. Due is how long its answer
	// may take before it is likelier lost than late; 0: not said.
	SendAttempt struct {
		RequestID    string
		Engine       string
		Timeout      time.Duration
		OverdueAfter time.Duration
	}
	// Reject is a final answer that invites the client to try again.
	Reject struct {
		RequestID  string
		RetryAfter time.Duration
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ RequestID string }
	// CancelAttempt calls an attempt off.
	CancelAttempt struct {
		RequestID string
		Number    int
	}
	// SetAttemptOptions names memory and priority for the next attempts of a query.
	SetAttemptOptions struct {
		RequestID string
		GrantMB   float64
		Priority  int
	}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// ProbeLoad asks an engine for its load.
	ProbeLoad struct{ Engine string }
	// SendGossip tells another gateway of engines' loads, once and with no answer.
	SendGossip struct {
		Broker  int
		Reports []LoadReport
	}
	// WatchEndpoints subscribes to changes of the list.
	WatchEndpoints struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (SendAttempt) action()       {}
func (Reject) action()            {}
func (Fail) action()              {}
func (CancelAttempt) action()     {}
func (SetAttemptOptions) action() {}
func (SetTimer) action()          {}
func (ProbeLoad) action()         {}
func (SendGossip) action()        {}
func (WatchEndpoints) action()    {}
func (Log) action()               {}
