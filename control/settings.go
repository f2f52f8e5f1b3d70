package control

import (
	"time"

	"wheatlane/control/idempotency"
	"wheatlane/control/units"
	"wheatlane/control/workload"
)

// Class configures one request class.
type Class struct {
	Name                 string
	LatencyObjective     time.Duration  // default: ClientTimeout, else defaultLatencyObjective
	ClientTimeout        time.Duration  // time that clients wait for a response; 0: unknown
	ObjectivePerWork     float64        // seconds added to the objective per second of work per thread
	PriorityWeight       float64        // weight of a response within the latency objective
	LateWeight           units.Fraction // fraction of PriorityWeight that a late response counts for
	Idempotency          idempotency.Policy
	Ordered              bool     // requests of one order key run one at a time, in order of arrival
	AllowedZones         []string // empty: any zone
	AllowedKinds         []string // empty: any kind of engine
	Threads              int      // threads that a request runs on; default 1
	HoldsDataSetLock     bool     // a request locks its data set on its engine while it runs
	BlockedByDataSetLock bool     // a request does not progress while another one holds that lock
}

// defaultLatencyObjective is the objective of a class that has neither an objective nor a client timeout.
const defaultLatencyObjective = time.Second

// withDefaults returns the class with defaults for unset fields: one thread, and the client timeout as the
// latency objective. Without an objective every request would be rejected, because none could meet it.
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

// objectiveOf returns the latency objective of a request with this work.
func (class *Class) objectiveOf(work units.ThreadSeconds) time.Duration {
	perThread := class.ObjectivePerWork * float64(work) / float64(class.Threads)
	return class.LatencyObjective + units.Duration(perThread)
}

// Tenant configures one tenant, a customer with a share of the service.
type Tenant = workload.Tenant

// EngineKind configures one kind of engine.
type EngineKind struct {
	Cores    float64 // 0: unknown, taken as 1
	MemoryMB float64 // 0: unknown, so not limiting
}

// Limits holds the limits of a deployment and the optional operations that it allows.
type Limits struct {
	MaxAttempts   int           // attempts per request, including the first; default 1
	MaxRetryAfter time.Duration // longest delay that clients accept
	RetryAfter    bool          // rejections include a delay before a retry
	Cancellation  bool          // attempts may be cancelled
	Hedging       bool          // two attempts of a request may be in flight at once
	LoadProbes    bool          // engines may be probed for their load
	Gossip        bool          // brokers may send one another load reports
}

// withDefaults returns the limits with defaults for unset fields: one attempt per request.
func (limits Limits) withDefaults() Limits {
	limits.MaxAttempts = max(1, limits.MaxAttempts)
	return limits
}

// Rules holds the parameters of a deployment's polling, slow start, order keys and retry budget.
type Rules struct {
	MaxPollInterval    time.Duration  // longest time between polls of the endpoint list
	SlowStartInitial   units.Fraction // fraction of its capacity that an engine has when it starts
	SlowStartDuration  time.Duration  // time until an engine has its full capacity
	OverloadMultiple   float64        // multiple of capacity beyond which an engine in slow start fails
	OverloadWindow     time.Duration  // window over which that is measured; 0: no slow start
	KeyCooldown        time.Duration  // pause of an order key after an attempt that may still run
	RetryBudgetWindow  time.Duration  // 0: no retry budget
	RetryBudgetRatio   float64        // retries allowed per request received within the window
	RetryBudgetReserve float64        // retries allowed within the window in addition to these
}

// Settings configures a Controller for its deployment.
type Settings struct {
	Brokers              int           // number of brokers that share the engines, including this one
	BrokerIndex          int           // index of this broker, from 0
	Zone                 string        // zone of this broker
	MinBatchInterval     time.Duration // shortest time between two calls of Handle
	Classes              []Class
	Tenants              []Tenant
	EngineKinds          map[string]EngineKind // by the name of the kind
	MaxGrantFraction     units.Fraction        // largest fraction of an engine's memory for one request
	MemoryGrants         bool                  // engines apply memory grants
	Priorities           bool                  // engines apply priorities
	ProgressInterval     time.Duration         // time between progress reports of an attempt; 0: none
	EnginesReportCost    bool                  // responses include the work and memory of the request
	WeightScalesWithWork bool                  // the priority weight of a request grows with its work
	EnginesReportLoad    bool                  // engines report their load
	MaxSendDelay         time.Duration         // longest time from SendAttempt until the attempt is sent
	WatchEndpointList    bool                  // the host requires WatchEndpoints actions
	Limits               Limits
	Rules                Rules
}
