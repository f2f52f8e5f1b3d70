package metrics

// ID identifies a metric. It is the metric's index in the Catalogue.
type ID int

// The metrics. Their exported names are in the Catalogue only.
const (
	Requests ID = iota
	RequestsByTenant
	RequestsByDataSet
	RequestOutcomes
	RequestOutcomesByTenant
	InTimeShare
	ObjectiveRatio
	AnswerTime
	Rejections
	Attempts
	AttemptsPerRequest
	AttemptEnds
	EngineTime
	ClientRetries
	DuplicateResponses
	WastedTime
	WastedTimeByEngine
	Drains
	LateDrains
	DrainTime
	MaxDrainTime
	QueueWait
	QueueWaitByTenant
	ConcurrencyLimit
	ThreadsInFlight
	QueuedRequests
	ClassShare
	Engines
	ClientConnectionsEnded
	EngineConnectionsEnded
	ChangelogConnectionsEnded
	Connections
	OpenRequests
	Sessions
	HeapBytes
	MemoryBytes
	InboxLength
	LoopLag
	ActiveNames
	AdmittedNames
	RetiredNames
	OtherNames
	HeldBytes
	HeldIntervals
	DeliveredIntervals
	LostIntervals
	LostSamples
	ConnectionFailures
	ConfigsAccepted
	ConfigsRejected
	StartTime
	Sequence
	MergedIntervals
	RequestEndCauses
	InvariantViolations
	LiveHeapBytes
	ResidentBytes
	AccountedBytes
	MemoryLevel
	metricCount
)

// Catalogue describes every metric that a broker reports, indexed by ID. Exported names are defined only here.
var Catalogue = [metricCount]Descriptor{
	Requests: {
		Name: "requests", Kind: Counter, Dimension: Class,
		Help: "requests accepted",
	},
	RequestsByTenant: {
		Name: "requests_by_tenant", Kind: Counter, Dimension: Tenant,
		Help: "requests accepted",
	},
	RequestsByDataSet: {
		Name: "requests_by_data_set", Kind: Counter, Dimension: DataSet,
		Help: "requests accepted that read or write this data set",
	},
	RequestOutcomes: {
		Name: "answers", Kind: Counter, Dimension: Class, Label: "outcome", LabelValues: requestOutcomes,
		Help: "requests that ended: served within the latency objective or after it, rejected, failed, " +
			"or their client gone",
	},
	RequestOutcomesByTenant: {
		Name: "answers_by_tenant", Kind: Counter, Dimension: Tenant, Label: "outcome", LabelValues: requestOutcomes,
		Help: "the same by tenant",
	},
	InTimeShare: {
		Name: "in_time_share", Kind: Gauge, Dimension: Class,
		Help: "part of the requests that ended in the interval, those whose client left apart, that " +
			"were served within the objective",
	},
	ObjectiveRatio: {
		Name: "aim_ratio", Kind: DistributionKind, Dimension: Class,
		Help: "time from the client's send to the answer over the objective, of requests served; above " +
			"1 is late",
	},
	AnswerTime: {
		Name: "answer_ms", Kind: DistributionKind, Unit: "ms", Dimension: Class,
		Help: "time from the client's send to the answer, of requests served",
	},
	Rejections: {
		Name: "refusals", Kind: Counter, Label: "cause", LabelValues: rejectionCauses,
		Help: "requests and sessions rejected, by cause; no_room is every request rejected with an invitation to retry: " +
			"by the decision module, by shutdown, or by the broker for its time left, its connection or what is " +
			"queued on it",
	},
	Attempts: {
		Name: "attempts", Kind: Counter, Dimension: Class,
		Help: "attempts sent to engines",
	},
	AttemptsPerRequest: {
		Name: "attempts_a_request", Kind: DistributionKind, Dimension: Class,
		Help: "attempts of each request when it ended",
	},
	AttemptEnds: {
		Name: "attempt_ends", Kind: Counter, Dimension: Engine, Label: "status", LabelValues: attemptStatuses,
		Help: "attempts that ended, by status",
	},
	EngineTime: {
		Name: "engine_ms", Kind: DistributionKind, Unit: "ms", Dimension: Engine,
		Help: "time from an attempt's send to its successful end",
	},
	ClientRetries: {
		Name: "client_retries", Kind: Counter, Dimension: Class,
		Help: "requests that their client marked as a retry",
	},
	DuplicateResponses: {
		Name: "second_copies", Kind: Counter, Dimension: Engine,
		Help: "responses that no attempt waited for: of hedged requests, and of attempts that were " +
			"given up",
	},
	WastedTime: {
		Name: "wasted_ms", Kind: Counter, Unit: "ms", Dimension: Class,
		Help: "time in flight of attempts that may have run and whose answer no client got: an upper " +
			"bound of what engines spent on them",
	},
	WastedTimeByEngine: {
		Name: "wasted_by_engine_ms", Kind: Counter, Unit: "ms", Dimension: Engine,
		Help: "the same by engine",
	},
	Drains: {
		Name: "drains", Kind: Counter,
		Help: "drains of engines: the endpoint list has one as draining, or its maintenance began",
	},
	LateDrains: {
		Name: "drains_over_500ms", Kind: Counter,
		Help: "drains after which something was still sent beyond 500 ms; the rule allows none",
	},
	DrainTime: {
		Name: "drain_ms", Kind: DistributionKind, Unit: "ms",
		Help: "time from when the broker read that an engine drains, or from the start of its maintenance, to the " +
			"last byte of a request sent to it",
	},
	MaxDrainTime: {
		Name: "worst_drain_ms", Kind: Gauge, Unit: "ms",
		Help: "the longest of these since the start",
	},
	QueueWait: {
		Name: "queue_wait_ms", Kind: DistributionKind, Unit: "ms", Dimension: Class,
		Help: "time from when a request was accepted until its first attempt was sent, or until it " +
			"ended without one",
	},
	QueueWaitByTenant: {
		Name: "queue_wait_by_tenant_ms", Kind: DistributionKind, Unit: "ms", Dimension: Tenant,
		Help: "the same by tenant",
	},
	ConcurrencyLimit: {
		Name: "bound", Kind: Gauge, Unit: "threads", Dimension: Engine,
		Help: "concurrency limit: threads that this broker may have in flight at the engine",
	},
	ThreadsInFlight: {
		Name: "threads", Kind: Gauge, Unit: "threads", Dimension: Engine,
		Help: "threads in flight there",
	},
	QueuedRequests: {
		Name: "queued", Kind: Gauge, Dimension: Engine,
		Help: "requests that wait in the engine's queue at this broker",
	},
	ClassShare: {
		Name: "class_share", Kind: Gauge, Dimension: Class,
		Help: "weight of the class in the fair queues, as the decision module sets it",
	},
	Engines: {
		Name: "engines", Kind: Gauge, Label: "health", LabelValues: engineHealths,
		Help: "engines by health, each counted once: draining, doubted (ejected), cold (in slow start), " +
			"ready",
	},
	ClientConnectionsEnded: {
		Name: "client_connections_ended", Kind: Counter, Label: "reason", LabelValues: EndReasons,
		Help: "connections of clients that ended, by reason code",
	},
	EngineConnectionsEnded: {
		Name: "engine_connections_ended", Kind: Counter, Label: "reason", LabelValues: EndReasons,
		Help: "connections to engines that ended, by reason code",
	},
	ChangelogConnectionsEnded: {
		Name: "changelog_connections_ended", Kind: Counter, Label: "reason", LabelValues: EndReasons,
		Help: "connections to the change log that ended, by reason code",
	},
	Connections: {
		Name: "connections", Kind: Gauge, Label: "side", LabelValues: connectionSides,
		Help: "connections that are open",
	},
	OpenRequests: {
		Name: "open_requests", Kind: Gauge,
		Help: "requests accepted and not answered yet",
	},
	Sessions: {
		Name: "sessions", Kind: Gauge,
		Help: "clients that are connected",
	},
	HeapBytes: {
		Name: "heap_bytes", Kind: Gauge, Unit: "bytes",
		Help: "memory of live objects and of those not yet collected",
	},
	MemoryBytes: {
		Name: "memory_bytes", Kind: Gauge, Unit: "bytes",
		Help: "memory that the runtime has from the system",
	},
	InboxLength: {
		Name: "inbox", Kind: Gauge,
		Help: "maximum of the events that waited for the reducer in the interval",
	},
	LoopLag: {
		Name: "round_lag_ms", Kind: DistributionKind, Unit: "ms",
		Help: "how long after it was due the reducer's goroutine started a round",
	},
	ActiveNames: {
		Name: "names", Kind: Gauge, Label: "of", LabelValues: boundedDimensions,
		Help: "names that have series of their own",
	},
	AdmittedNames: {
		Name: "names_joined", Kind: Counter, Label: "of", LabelValues: boundedDimensions,
		Help: "names that were given series of their own",
	},
	RetiredNames: {
		Name: "names_left", Kind: Counter, Label: "of", LabelValues: boundedDimensions,
		Help: "names that lost them again, being idle or displaced by more frequent ones",
	},
	OtherNames: {
		Name: "names_other", Kind: Counter, Label: "of", LabelValues: boundedDimensions,
		Help: "how often a name was counted under 'other'",
	},
	HeldBytes: {
		Name: "held_bytes", Kind: Gauge, Unit: "bytes", Dimension: Destination,
		Help: "memory of the intervals that wait for delivery",
	},
	HeldIntervals: {
		Name: "held_intervals", Kind: Gauge, Dimension: Destination,
		Help: "intervals that wait for delivery, each of those folded into one counted; with " +
			"delivered_intervals and lost_intervals they make up all before this one",
	},
	DeliveredIntervals: {
		Name: "delivered_intervals", Kind: Counter, Dimension: Destination,
		Help: "intervals that were written, each of those folded into one counted",
	},
	LostIntervals: {
		Name: "lost_intervals", Kind: Counter, Dimension: Destination,
		Help: "intervals that will never be written; their counts are part of later ones",
	},
	LostSamples: {
		Name: "lost_samples", Kind: Counter, Dimension: Destination,
		Help: "samples of distributions that will never be written",
	},
	ConnectionFailures: {
		Name: "delivery_breaks", Kind: Counter, Dimension: Destination,
		Help: "connections to the collector that broke or were not established",
	},
	ConfigsAccepted: {
		Name: "conf_loaded", Kind: Counter,
		Help: "configuration files accepted at SIGHUP",
	},
	ConfigsRejected: {
		Name: "conf_invalid", Kind: Counter,
		Help: "configuration files rejected at SIGHUP: the settings before stay in full",
	},
	StartTime: {
		Name: "started_s", Kind: Gauge, Unit: "s",
		Help: "when this broker started, in seconds of Unix time, to the millisecond: a new value is a " +
			"restart, after which counters begin at zero",
	},
	Sequence: {
		Name: "sequence", Kind: Counter,
		Help: "number of the interval, from 1 at each start; a gap is one that was folded into a later " +
			"one or lost",
	},
	MergedIntervals: {
		Name: "folded", Kind: Gauge,
		Help: "intervals that this one is made of: 1, or more where they waited for the collector",
	},
	RequestEndCauses: {
		Name: "request_ends", Kind: Counter, Label: "cause", LabelValues: RequestEndCauseNames,
		Help: "requests that ended, by the cause of the end",
	},
	InvariantViolations: {
		Name: "invariant_violations", Kind: Counter, Label: "rule", LabelValues: InvariantNames,
		Help: "rules that the broker found broken, or about to be, by its own checks; any is a bug",
	},
	LiveHeapBytes: {
		Name: "live_heap_bytes", Kind: Gauge, Unit: "bytes",
		Help: "memory of the objects that the last garbage collection found live",
	},
	ResidentBytes: {
		Name: "resident_bytes", Kind: Gauge, Unit: "bytes",
		Help: "resident size of the process, which counts against its memory limit; 0 where the system does not tell it",
	},
	AccountedBytes: {
		Name: "accounted_bytes", Kind: Gauge, Unit: "bytes", Label: "account", LabelValues: memoryAccounts,
		Help: "memory that the broker's accounts count as in use by clients, engines and results",
	},
	MemoryLevel: {
		Name: "memory_level", Kind: Gauge,
		Help: "how far the broker protects itself against its memory limit: 0 not at all, 1 no new clients, 2 no large " +
			"messages either, 3 clients that hold memory are evicted, 4 requests are rejected",
	},
}
