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
	DataSet           int           // data set that the request reads or locks
	Deadline          time.Duration // time by which the final response is due
	EstimatedWork     time.Duration // estimated time on one thread; 0: unknown
	EstimatedMemoryMB float64       // 0: unknown
}

// EngineState is the state of an engine in the endpoint list.
type EngineState = membership.State

// The states of an engine.
const (
	Ready    = membership.Ready
	Draining = membership.Draining // completes its attempts and accepts no new ones
	Removed  = membership.Removed
)

// Engine is one entry of the endpoint list.
type Engine struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int // group of engines that detect one another's duplicates
	State     EngineState
	StartedAt time.Duration // 0: long ago
}

// Status is how an attempt ended.
type Status int

// The ways in which an attempt ends. MayHaveRun distinguishes those that prove that the attempt did not run.
const (
	OK Status = iota
	Failed
	AtCapacity // not admitted by the engine, or no connection to it was available in this broker
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NeverSent // withdrawn or prevented before it was sent, or dropped by the engine before it ran
)

// statusNames holds the names of the statuses in logs.
var statusNames = [...]string{
	OK: "ok", Failed: "failed", AtCapacity: "at_capacity", TimedOut: "timed_out",
	ConnectFailed: "connect_failed", ConnectionReset: "connection_reset", Cancelled: "cancelled",
	NeverSent: "never_sent",
}

// String returns the name of the status in logs.
func (s Status) String() string { return statusNames[s] }

// MayHaveRun reports whether an attempt that ended with this status may have run on its engine.
func (s Status) MayHaveRun() bool { return s != AtCapacity && s != ConnectFailed && s != NeverSent }

// mayStillRun reports whether the engine may still run an attempt that ended with this status in the broker.
func (s Status) mayStillRun() bool { return s == TimedOut || s == ConnectionReset || s == Cancelled }

// ProgressKind is the kind of an AttemptProgress.
type ProgressKind int

// The kinds of progress.
const (
	ProgressFraction ProgressKind = iota + 1 // Value is the completed fraction of the work
	ProgressSpilled
	ProgressBlocked
)

// EndpointUpdateKind is the kind of an EndpointUpdate.
type EndpointUpdateKind int

// The kinds of update.
const (
	EndpointDelta       EndpointUpdateKind = iota // contains only the engines that changed
	EndpointSnapshot                              // contains all engines; other engines are removed
	EndpointWatchFailed                           // the watch failed or ended
)

// GossipedLoad is a load report of an engine that another broker received, with its age.
type GossipedLoad struct {
	Engine uint32        // GossipID of the engine's ID
	Load   float64       // fraction of the engine's capacity in use; over 1 if overloaded
	Age    time.Duration // time since the engine reported it
}

// GossipID returns the short form of an engine's ID in gossip. It is independent of datasetlock.RankHash.
func GossipID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash's Write never fails
	return h.Sum32()
}

// Event is an input of the Controller. The types below implement it.
type Event interface{ event() }

type (
	// RequestReceived reports a new request.
	RequestReceived struct{ Request Request }
	// ClientDisconnected reports that the broker closed a request without an action of the Controller:
	// the client disconnected or killed the request, or the broker answered it itself (at a shutdown, or
	// because a request queued behind it was due). The Controller sends no further response for it and
	// counts it as a request whose client disconnected.
	ClientDisconnected struct{ RequestID string }
	// AttemptEnded reports the outcome of one attempt of a request. Attempts are numbered from 0.
	AttemptEnded struct {
		RequestID     string
		Number        int
		Engine        string
		Status        Status
		Duration      time.Duration
		RequestClosed bool // the request has its final response
		SharedCause   bool // the end of another attempt was already reported for the same cause
		Work          time.Duration
		MemoryMB      float64
		Report        loadreport.Report
	}
	// ResponseStarted reports that the client began to receive the response; the deadline no longer
	// applies. Only the simulator's host reports it: the broker sends a response when it is complete.
	ResponseStarted struct{ RequestID string }
	// AttemptProgress is a progress report of an attempt in flight.
	AttemptProgress struct {
		RequestID string
		Number    int
		Engine    string
		Kind      ProgressKind
		Value     float64
	}
	// ProbeResult reports the outcome of a ProbeLoad action.
	ProbeResult struct {
		Engine   string
		Status   Status
		Duration time.Duration
		Report   loadreport.Report
	}
	// GossipReceived holds load reports received from another broker.
	GossipReceived struct {
		Broker  int
		Reports []GossipedLoad
	}
	// EndpointUpdate reports a change of the endpoint list or the end of its watch.
	EndpointUpdate struct {
		Kind    EndpointUpdateKind
		Engines []Engine
	}
	// TimerFired reports that the timer of a SetTimer action expired, by its token.
	TimerFired struct{ Token uint64 }
	// SetMaintenance enables or disables the maintenance mode of an engine, in which it receives no new
	// attempts, whatever its state in the endpoint list. The engine need not be listed yet.
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
