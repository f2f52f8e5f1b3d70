// Package metrics holds what a broker counts and measures. The Catalogue is the one source of names, kinds, units
// and meaning; a Registry records under it, and cuts off an Interval of figures at a time for delivery. The package
// does no I/O and reads no clock, and recording on the path of a request allocates nothing.
package metrics

import (
	"fmt"
	"strings"
)

// Kind says how a figure behaves.
type Kind int

// The kinds of figure.
const (
	Counter          Kind = iota // a total since the broker's start, which never falls
	Gauge                        // a value of the moment
	DistributionKind             // a distribution of the values of an interval
)

func (k Kind) String() string { return [...]string{"counter", "gauge", "distribution"}[k] }

// Dimension is what the series of a figure are named by.
type Dimension int

// The dimensions. Names of each are bounded by themselves.
const (
	NoDimension Dimension = iota // one series
	Class                        // of requests
	Tenant                       // customers
	Engine
	DataSet // the number of a group of tables
	Destination
	dimensionCount
)

func (d Dimension) String() string {
	return [...]string{"", "class", "tenant", "engine", "data_set", "destination"}[d]
}

// ID is a figure of the catalogue.
type ID int

// The figures.
const (
	Requests ID = iota
	RequestsByTenant
	RequestsByDataSet
	Answers
	AnswersByTenant
	InTimeShare
	ObjectiveRatio
	AnswerTime
	Rejections
	Attempts
	AttemptsByRequest
	AttemptEnds
	EngineTime
	ClientRetries
	DuplicateResponses
	Wasted
	WastedByEngine
	Drains
	LateDrains
	DrainTime
	WorstDrain
	QueueWait
	QueueWaitByTenant
	ConcurrencyLimit
	Threads
	Queued
	ClassShare
	Engines
	ClientEnds
	EngineEnds
	ChangelogEnds
	Connections
	Open
	Sessions
	Heap
	Memory
	Inbox
	RoundLag
	NamesAdmitted
	NamesJoined
	NamesLeft
	NamesOther
	Held
	HeldIntervals
	Delivered
	Lost
	LostSamples
	Breaks
	ConfLoaded
	ConfInvalid
	Started
	Sequence
	Folded
	figureCount
)

// Figure is an entry of the catalogue.
type Figure struct {
	Name   string
	Kind   Kind
	Unit   string // of a value: ms, bytes, ...; empty: a plain number
	By     Dimension
	Detail string   // what Details tell apart; empty: there is one series a name
	Parts  []string // the details, in order
	Help   string
}

// The details of figures by how something ended. The order is that of the constants beside them.
var (
	requestOutcomes = []string{"in_time", "late", "refused", "failed", "gone"}
	rejectionCauses = []string{"no_room", "too_many_sessions", "bad_fields", "bad_command", "not_ready", "no_such_session",
		"no_such_database", "killed"}
	attemptStatuses   = []string{"ok", "failed", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}
	engineHealths     = []string{"ready", "cold", "doubted", "draining"}
	connectionSides   = []string{"client", "engine"}
	boundedDimensions = []string{"class", "tenant", "engine", "data_set"}
	// EndReasons are the reason codes of ended connections, as the log has them.
	EndReasons = []string{"peer_closed", "peer_reset", "quit", "idle", "login_timeout", "read_timeout", "access_denied",
		"malformed", "too_large", "buffer_full", "write_timeout", "killed", "made_room", "too_many_connections",
		"connect_failed", "engine_gone", "stalled", "retired", "silent", "moved", "http_status", "shutdown", "failed"}
)

// The details of Answers and AnswersByTenant.
const (
	InTime = iota // served within the wanted time
	Late          // served after it
	Rejected
	Failed
	ClientLeft // the client stopped waiting
)

// The details of Refusals.
const (
	NoCapacity = iota // the decision module found no room in time
	TooManySessions
	BadFields
	BadCommand
	NotReady
	NoSuchSession
	NoSuchDatabase
	Killed
)

// The details of Engines.
const (
	Ready = iota
	SlowStart
	Ejected
	Draining
)

// The details of Connections.
const (
	ClientSide = iota
	EngineSide
)

// Catalogue has every figure that a broker reports, by its ID.
var Catalogue = [figureCount]Figure{
	Requests:           {"requests", Counter, "", Class, "", nil, "requests taken"},
	RequestsByTenant:   {"requests_by_tenant", Counter, "", Tenant, "", nil, "requests taken"},
	RequestsByDataSet:  {"requests_by_data_set", Counter, "", DataSet, "", nil, "requests taken that read or write this group of tables"},
	Answers:            {"answers", Counter, "", Class, "outcome", requestOutcomes, "requests that are over: served within the wanted time or after it, refused, failed, or their client gone"},
	AnswersByTenant:    {"answers_by_tenant", Counter, "", Tenant, "outcome", requestOutcomes, "the same by customer"},
	InTimeShare:        {"in_time_share", Gauge, "", Class, "", nil, "part of the requests that ended in the interval, clients that left apart, that were served within the wanted time"},
	ObjectiveRatio:     {"aim_ratio", DistributionKind, "", Class, "", nil, "time from the client's send to the answer over the wanted time, of requests served; above 1 is late"},
	AnswerTime:         {"answer_ms", DistributionKind, "ms", Class, "", nil, "time from the client's send to the answer, of requests served"},
	Rejections:         {"refusals", Counter, "", NoDimension, "cause", rejectionCauses, "what was turned away, by cause; no_room is the decision module's"},
	Attempts:           {"attempts", Counter, "", Class, "", nil, "attempts sent to engines"},
	AttemptsByRequest:  {"attempts_a_request", DistributionKind, "", Class, "", nil, "attempts that each request took until it was over"},
	AttemptEnds:        {"attempt_ends", Counter, "", Engine, "status", attemptStatuses, "attempts that ended, by how"},
	EngineTime:         {"engine_ms", DistributionKind, "ms", Engine, "", nil, "time from an attempt's send to its good end"},
	ClientRetries:      {"client_retries", Counter, "", Class, "", nil, "requests that their client marked as a retry"},
	DuplicateResponses: {"second_copies", Counter, "", Engine, "", nil, "answers that no attempt waited for: second copies, and answers to what was given up"},
	Wasted:             {"wasted_ms", Counter, "ms", Class, "", nil, "time that attempts were out which may have run and whose answer no client got; the most that engines can have spent on them"},
	WastedByEngine:     {"wasted_by_engine_ms", Counter, "ms", Engine, "", nil, "the same by engine"},
	Drains:             {"drains", Counter, "", NoDimension, "", nil, "engines that the broker was told to drain"},
	LateDrains:         {"drains_over_500ms", Counter, "", NoDimension, "", nil, "drains after which something was still sent beyond 500 ms; the rule allows none"},
	DrainTime:          {"drain_ms", DistributionKind, "ms", NoDimension, "", nil, "time from when the broker read that an engine drains to the last byte of a request sent to it"},
	WorstDrain:         {"worst_drain_ms", Gauge, "ms", NoDimension, "", nil, "the longest of these since the start"},
	QueueWait:          {"queue_wait_ms", DistributionKind, "ms", Class, "", nil, "time from when a request was taken until its first attempt was sent, or until it was over without one"},
	QueueWaitByTenant:  {"queue_wait_by_tenant_ms", DistributionKind, "ms", Tenant, "", nil, "the same by customer"},
	ConcurrencyLimit:   {"bound", Gauge, "threads", Engine, "", nil, "threads that the decision module lets this broker have out at the engine"},
	Threads:            {"threads", Gauge, "threads", Engine, "", nil, "threads of what is out there"},
	Queued:             {"queued", Gauge, "", Engine, "", nil, "requests that wait in the engine's queue at this broker"},
	ClassShare:         {"class_share", Gauge, "", Class, "", nil, "weight of the class in the fair queues, as the decision module sets it"},
	Engines:            {"engines", Gauge, "", NoDimension, "health", engineHealths, "engines by health, each in one group: draining, doubted (held to be down), cold (started lately), ready"},
	ClientEnds:         {"client_connections_ended", Counter, "", NoDimension, "reason", EndReasons, "connections of clients that ended, by reason code"},
	EngineEnds:         {"engine_connections_ended", Counter, "", NoDimension, "reason", EndReasons, "connections to engines that ended, by reason code"},
	ChangelogEnds:      {"changelog_connections_ended", Counter, "", NoDimension, "reason", EndReasons, "connections to the change log that ended, by reason code"},
	Connections:        {"connections", Gauge, "", NoDimension, "side", connectionSides, "connections that are open"},
	Open:               {"open_requests", Gauge, "", NoDimension, "", nil, "requests that are owed an answer"},
	Sessions:           {"sessions", Gauge, "", NoDimension, "", nil, "clients that are connected"},
	Heap:               {"heap_bytes", Gauge, "bytes", NoDimension, "", nil, "memory of live objects and of those not yet collected"},
	Memory:             {"memory_bytes", Gauge, "bytes", NoDimension, "", nil, "memory that the runtime has from the system"},
	Inbox:              {"inbox", Gauge, "", NoDimension, "", nil, "the most events that waited for the reducer in the interval"},
	RoundLag:           {"round_lag_ms", DistributionKind, "ms", NoDimension, "", nil, "how long after it was due the reducer's goroutine came to a turn"},
	NamesAdmitted:      {"names", Gauge, "", NoDimension, "of", boundedDimensions, "names that have series of their own"},
	NamesJoined:        {"names_joined", Counter, "", NoDimension, "of", boundedDimensions, "names that were given series of their own"},
	NamesLeft:          {"names_left", Counter, "", NoDimension, "of", boundedDimensions, "names that lost them again, being idle or lighter than others"},
	NamesOther:         {"names_other", Counter, "", NoDimension, "of", boundedDimensions, "how often a name was counted under 'other'"},
	Held:               {"held_bytes", Gauge, "bytes", Destination, "", nil, "figures that wait for delivery"},
	HeldIntervals:      {"held_intervals", Gauge, "", Destination, "", nil, "intervals that wait for delivery, each of those folded into one counted; with delivered_intervals and lost_intervals they make up all before this one"},
	Delivered:          {"delivered_intervals", Counter, "", Destination, "", nil, "intervals that were written, each of those folded into one counted"},
	Lost:               {"lost_intervals", Counter, "", Destination, "", nil, "intervals that will never be written; their counts live on in later ones"},
	LostSamples:        {"lost_samples", Counter, "", Destination, "", nil, "values of distributions that will never be written"},
	Breaks:             {"delivery_breaks", Counter, "", Destination, "", nil, "connections to the collector that broke or never came up"},
	ConfLoaded:         {"conf_loaded", Counter, "", NoDimension, "", nil, "configuration files taken at SIGHUP"},
	ConfInvalid:        {"conf_invalid", Counter, "", NoDimension, "", nil, "configuration files turned down at SIGHUP: the settings before stay in full"},
	Started:            {"started_s", Gauge, "s", NoDimension, "", nil, "when this broker started, in seconds of Unix time, to the millisecond: a new value is a restart, after which counters begin at zero"},
	Sequence:           {"sequence", Counter, "", NoDimension, "", nil, "number of the interval, from 1 at each start; a gap is one that was folded into a later one or lost"},
	Folded:             {"folded", Gauge, "", NoDimension, "", nil, "intervals that this one is made of: 1, or more where they waited for the collector"},
}

// Parts is how many series a figure has for each name.
func (id ID) Parts() int { return max(1, len(Catalogue[id].Parts)) }

// Find is the figure of a name.
func Find(name string) (ID, bool) {
	for id := range figureCount {
		if Catalogue[id].Name == name {
			return id, true
		}
	}
	return 0, false
}

// Markdown is the catalogue as a table, which the operators' page holds.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| figure | kind | unit | by | detail | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range Catalogue {
		detail := f.Detail
		if f.Detail == "reason" {
			detail += ": a reason code of the log"
		} else if len(f.Parts) > 0 {
			detail += ": " + strings.Join(f.Parts, ", ")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.Name, f.Kind, f.Unit, f.By, detail, f.Help)
	}
	return b.String()
}
