package control

import (
	"hash/fnv"
	"time"

	"wheatlane/control/loadreport"
	"wheatlane/control/membership"
)

// Request is a request received from a client.
type Request struct {
	ID                string
	Class             string
	Tenant            string
	OrderKey          string        // set for ordered classes
	DataSet           int           // the data set that it reads or locks
	Deadline          time.Duration // time by which it must be answered
	EstimatedWork     time.Duration // estimated time on one thread; 0: not known
	EstimatedMemoryMB float64       // estimated memory; 0: not known
}

// EngineState is the state of an engine in the endpoint list.
type EngineState = membership.State

// The states of an engine.
const (
	Ready    = membership.Ready
	Draining = membership.Draining // finishes what it has and takes nothing new
	Removed  = membership.Removed
)

// Engine is one entry of the endpoint list.
type Engine struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int // group within which duplicates are detected
	State     EngineState
	StartedAt time.Duration // 0: long ago
}

// Status is how an attempt ended.
type Status int

// The ways in which an attempt ends. See MayHaveRun for those that prove that it did not run.
const (
	OK Status = iota
	Failed
	AtCapacity // not admitted: by the engine, or for lack of a connection to it here
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NeverSent // no engine ran it: withdrawn or prevented before it left, or dropped unrun by the engine
)

// statusNames are the names of the statuses in logs.
var statusNames = [...]string{
	OK: "ok", Failed: "failed", AtCapacity: "at_capacity", TimedOut: "timed_out",
	ConnectFailed: "connect_failed", ConnectionReset: "connection_reset", Cancelled: "cancelled",
	NeverSent: "never_sent",
}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// MayHaveRun reports whether an attempt that ended so may have run.
func (s Status) MayHaveRun() bool { return s != AtCapacity && s != ConnectFailed && s != NeverSent }

// mayStillRun reports whether an engine may still run an attempt that ended so for the broker.
func (s Status) mayStillRun() bool { return s == TimedOut || s == ConnectionReset || s == Cancelled }

// ProgressKind is the subject of an AttemptProgress.
type ProgressKind int

// The kinds of progress.
const (
	ProgressFraction ProgressKind = iota + 1 // Value is the fraction that is done
	ProgressSpilled
	ProgressBlocked
)

// EndpointUpdateKind is the kind of an EndpointUpdate.
type EndpointUpdateKind int

// The kinds of update.
const (
	EndpointDelta       EndpointUpdateKind = iota // names the engines that changed
	EndpointSnapshot                              // names all engines; those not named are gone
	EndpointWatchFailed                           // the watch failed or ended
)

// GossipedLoad is an engine's load as it reported it to one of the brokers, and how long ago.
type GossipedLoad struct {
	Engine uint32  // GossipID of its ID
	Load   float64 // fraction of its capacity in use, over 1 beyond it
	Age    time.Duration
}

// GossipID is the short form of an engine's ID in gossip, no relation of datasetlock.RankHash.
func GossipID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return h.Sum32()
}

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// RequestReceived is a new request.
	RequestReceived struct{ Request Request }
	// ClientDisconnected says that the broker has closed a request by itself: the client has left or
	// killed it, or the broker has answered it (at a shutdown, or as a request queued behind it was due).
	// The controller answers it no more, and counts it as one whose client left.
	ClientDisconnected struct{ RequestID string }
	// AttemptEnded is the result of one attempt of a request, named by its number, from 0.
	AttemptEnded struct {
		RequestID     string
		Number        int
		Engine        string
		Status        Status
		Duration      time.Duration
		RequestClosed bool // the request has its final answer
		SharedCause   bool // it ended by a cause that another attempt's end was reported for already
		Work          time.Duration
		MemoryMB      float64
		Report        loadreport.Report
	}
	// ResponseStarted says that the client began to receive its answer; its deadline no longer applies.
	// Only the simulator's host reports it: the broker sends an answer when it is complete.
	ResponseStarted struct{ RequestID string }
	// AttemptProgress is a progress report of an attempt in flight.
	AttemptProgress struct {
		RequestID string
		Number    int
		Engine    string
		Kind      ProgressKind
		Value     float64
	}
	// ProbeResult answers a ProbeLoad.
	ProbeResult struct {
		Engine   string
		Status   Status
		Duration time.Duration
		Report   loadreport.Report
	}
	// GossipReceived holds load reports that another broker sent.
	GossipReceived struct {
		Broker  int
		Reports []GossipedLoad
	}
	// EndpointUpdate is a change of the endpoint list.
	EndpointUpdate struct {
		Kind    EndpointUpdateKind
		Engines []Engine
	}
	// TimerFired returns the token of a SetTimer.
	TimerFired struct{ Token uint64 }
	// SetMaintenance puts an engine into maintenance mode or takes it out: while it is in it, nothing new
	// goes to it, whatever its listed state. The engine need not be listed yet.
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
