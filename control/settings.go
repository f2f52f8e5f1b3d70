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
	LatencyObjective     time.Duration  // time to an answer that earns the full PriorityWeight
	ClientTimeout        time.Duration  // time that clients wait; 0: not known
	ObjectivePerWork     float64        // seconds of objective for each second of work per thread
	PriorityWeight       float64        // what an answer within the objective counts for
	LateWeight           units.Fraction // fraction of PriorityWeight that a later answer counts for
	Idempotency          idempotency.Policy
	Ordered              bool     // requests of one key run one at a time, in order of arrival
	AllowedZones         []string // empty: any zone
	AllowedKinds         []string // empty: any kind of engine
	Threads              int      // that a request runs on; default 1
	HoldsDataSetLock     bool     // a request locks its data set on its engine while it runs
	BlockedByDataSetLock bool     // a request does not progress while another one holds that lock
}

// defaultLatencyObjective is the objective of a class that has neither an objective nor a client timeout.
const defaultLatencyObjective = time.Second

// withDefaults fills in what a deployment leaves out: one thread, and the client timeout as the objective.
// Without an objective every request would be rejected, as none can meet it.
func (class Class) withDefaults() Class {
	class.Threads = max(1, class.Threads)
	if class.LatencyObjective > 0 {
		return class
	}
	class.LatencyObjective, class.ObjectivePerWork = class.ClientTimeout, 0
	if class.ClientTimeout <= 0 {
		class.LatencyObjective = defaultLatencyObjective
	}
	return class
}

// objectiveOf is the latency objective of a request, given its work.
func (class *Class) objectiveOf(work units.ThreadSeconds) time.Duration {
	perThread := class.ObjectivePerWork * float64(work) / float64(class.Threads)
	return class.LatencyObjective + units.Duration(perThread)
}

// Tenant describes one customer with a share of the service.
type Tenant = workload.Tenant

// EngineKind describes one kind of engine. What is 0 is not known and bounds nothing.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// Limits holds what a deployment allows.
type Limits struct {
	MaxAttempts   int           // of one request, the first included; at least 1
	MaxRetryAfter time.Duration // longest wait that clients follow
	RetryAfter    bool          // rejected clients are given a time to retry after
	Cancellation  bool          // attempts may be cancelled
	Hedging       bool          // two attempts of a request may be in flight at once
	LoadProbes    bool          // engines may be probed for their load
	Gossip        bool          // brokers may send one another load reports
}

// Rules holds the values of the deployment's rules.
type Rules struct {
	MaxPollInterval    time.Duration  // longest time between polls of the endpoint list
	SlowStartInitial   units.Fraction // fraction of its capacity that an engine has when it starts
	SlowStartDuration  time.Duration  // time until an engine has its full capacity
	OverloadMultiple   float64        // of its capacity, beyond which an engine in slow start fails
	OverloadWindow     time.Duration  // that it is measured over; 0: there is no slow start
	KeyCooldown        time.Duration  // pause of an order key after an attempt that may still run
	RetryBudgetWindow  time.Duration  // 0: retries have no budget
	RetryBudgetRatio   float64        // retries allowed for each request received within the window
	RetryBudgetReserve float64        // number of retries allowed beside these within the window
}

// Settings holds what a controller needs to know of its deployment.
type Settings struct {
	Brokers              int           // brokers that share the engines, this one included
	BrokerIndex          int           // of this broker, from 0
	Zone                 string        // of this broker
	MinBatchInterval     time.Duration // shortest time between two calls of Handle
	Classes              []Class
	Tenants              []Tenant
	EngineKinds          map[string]EngineKind // by the name of the kind
	MaxGrantFraction     units.Fraction        // of an engine's memory, for one request
	MemoryGrants         bool                  // engines apply memory grants
	Priorities           bool                  // engines apply priorities
	ProgressInterval     time.Duration         // of the reports of an attempt; 0: there are none
	EnginesReportCost    bool                  // answers carry the work and memory that they took
	WeightScalesWithWork bool                  // the priority weight of a request grows with its work
	EnginesReportLoad    bool                  // engines report their load
	MaxSendDelay         time.Duration         // from SendAttempt until the attempt leaves
	WatchEndpointList    bool                  // the endpoint list has to be watched
	Limits               Limits
	Rules                Rules
}
