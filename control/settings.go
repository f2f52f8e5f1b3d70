package control

import (
	"time"

	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/control/workload"
)

// Class describes one class of request.
type Class struct {
	Name                 string
	LatencyObjective     time.Duration // an answer within it earns the full PriorityWeight
	ClientTimeout        time.Duration // clients wait no longer; 0: not known
	ObjectivePerWork     float64       // the objective grows by this times the work per thread
	PriorityWeight       float64       // what an answer within the objective counts for
	LateWeight           float64       // part of PriorityWeight that a later answer counts for
	Idempotency          idempotency.Policy
	Ordered              bool     // requests of one key run one at a time, in order of arrival
	AllowedZones         []string // empty: any zone
	AllowedKinds         []string // empty: any kind of engine
	Threads              int      // threads that a request runs on, at least 1
	HoldsDataSetLock     bool     // locks its data set on its engine while it runs
	BlockedByDataSetLock bool     // does not progress while another request holds that lock
}

// defaultLatencyObjective is the objective of a class that has neither an objective nor a client timeout.
const defaultLatencyObjective = time.Second

// withDefaults fills in what a deployment leaves out: one thread, and the client timeout as the objective.
// Without an objective every request would be rejected as one that cannot meet it.
func (k Class) withDefaults() Class {
	k.Threads = max(1, k.Threads)
	if k.LatencyObjective > 0 {
		return k
	}
	k.LatencyObjective, k.ObjectivePerWork = k.ClientTimeout, 0
	if k.ClientTimeout <= 0 {
		k.LatencyObjective = defaultLatencyObjective
	}
	return k
}

// objectiveOf is the latency objective of a request with so much work.
func (k *Class) objectiveOf(work units.ThreadSeconds) time.Duration {
	return k.LatencyObjective + units.Duration(k.ObjectivePerWork*float64(work)/float64(k.Threads))
}

// Tenant describes one customer with a share of the service.
type Tenant = workload.Tenant

// EngineKind describes one kind of engine. What is 0 is not known and bounds nothing.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// Limits says what a deployment allows.
type Limits struct {
	MaxAttempts   int           // attempts of one request, the first included
	MaxRetryAfter time.Duration // longest wait that clients follow
	RetryAfter    bool          // rejected clients are given a time to retry after
	Cancellation  bool          // attempts may be cancelled
	Hedging       bool          // two attempts of a request may be in flight at once
	LoadProbes    bool          // engines may be probed for their load
	Gossip        bool          // brokers may send one another load reports
}

// Rules holds the values of the deployment's rules.
type Rules struct {
	MaxPollInterval    time.Duration // longest time between polls of the endpoint list
	SlowStartInitial   float64       // part of its capacity that an engine has when it starts
	SlowStartDuration  time.Duration // time until an engine has its full capacity
	OverloadMultiple   float64       // an engine in slow start fails beyond so many times its capacity
	OverloadWindow     time.Duration // time over which that is measured
	KeyCooldown        time.Duration // pause of an ordered key after an attempt that may still run
	RetryBudgetWindow  time.Duration // 0: retries have no budget
	RetryBudgetRatio   float64       // retries allowed for each request received within the window
	RetryBudgetReserve float64       // retries allowed beside these
}

// Settings holds what a controller needs to know of its deployment.
type Settings struct {
	Brokers          int           // brokers that share the engines, this one included
	BrokerIndex      int           // index of this broker, from 0
	Zone             string        // zone of this broker
	MinBatchInterval time.Duration // shortest time between two calls of Handle
	Classes          []Class
	Tenants          []Tenant
	EngineKinds      map[string]EngineKind
	MaxGrantFraction float64       // largest part of an engine's memory granted to one request
	MemoryGrants     bool          // engines heed memory grants
	Priorities       bool          // engines heed priorities
	ProgressInterval time.Duration // engines report progress so often; 0: never
	ReportsCost      bool          // answers carry the work and memory that they took
	WeightByWork     bool          // the priority weight of a request grows with its work
	ReportFields     []string      // names of the values in a load report, in their order
	MaxSendDelay     time.Duration // an attempt may leave the broker so long after SendAttempt
	PollEndpointList bool          // the endpoint list has to be subscribed to
	Limits           Limits
	Rules            Rules
}
