package metrics

import (
	"fmt"
	"strings"

	"wheatlane/internal/invariant"
	"wheatlane/internal/memorybudget"
)

// Kind is the kind of a metric.
type Kind int

// The kinds of metrics.
const (
	Counter          Kind = iota // a total since the broker's start; never decreases
	Gauge                        // a current value
	DistributionKind             // the distribution of the values observed in an interval
)

func (k Kind) String() string { return [...]string{"counter", "gauge", "distribution"}[k] }

// Dimension is the kind of object that the series of a metric are named after.
type Dimension int

// The dimensions. The number of names is limited for each dimension separately.
const (
	NoDimension Dimension = iota // one series
	Class                        // request class
	Tenant
	Engine
	DataSet // data-set number
	Destination
	dimensionCount
)

func (d Dimension) String() string {
	return [...]string{"", "class", "tenant", "engine", "data_set", "destination"}[d]
}

// Descriptor describes one metric of the Catalogue.
type Descriptor struct {
	Name        string // exported name
	Kind        Kind
	Unit        string // ms, bytes, ...; empty for a plain number
	Dimension   Dimension
	Label       string   // label name; empty if there is one series for each name
	LabelValues []string // indexed by Series.LabelIndex
	Help        string   // meaning
}

// The exported label values of metrics. Their order is that of the label-index constants below, or of the type that
// supplies the index.
var (
	requestOutcomes = []string{"in_time", "late", "refused", "failed", "gone"}
	rejectionCauses = []string{
		"no_room", "too_many_sessions", "bad_fields", "bad_command", "not_ready", "no_such_session",
		"no_such_database", "killed",
	}
	attemptStatuses = []string{
		"ok", "failed", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot",
	}
	engineHealths     = []string{"ready", "cold", "doubted", "draining"}
	connectionSides   = []string{"client", "engine"}
	boundedDimensions = []string{"class", "tenant", "engine", "data_set"}
	// RequestEndCauseNames are the causes of the ends of requests, as logged.
	RequestEndCauseNames = []string{
		"served", "module_rejected", "module_failed", "final_answer", "killed", "client_closed",
		"client_half_closed", "queue_overflow", "queued_request_due",
	}
	// InvariantNames are the names of the invariants that a broker checks at run time, as logged.
	InvariantNames = invariant.RuleNames[:]
	memoryAccounts = memorybudget.AccountNames[:]
	// EndReasons are the reason codes of ended connections, as logged.
	EndReasons = []string{
		"peer_closed", "peer_reset", "quit", "idle", "login_timeout", "read_timeout", "access_denied",
		"malformed", "too_large", "buffer_full", "write_timeout", "killed", "made_room",
		"too_many_connections", "connect_failed", "engine_gone", "stalled", "retired", "silent", "moved",
		"http_status", "shutdown", "failed",
	}
)

// The label indexes of RequestOutcomes and RequestOutcomesByTenant.
const (
	InTime = iota // served within the latency objective, or served without an objective
	Late          // served after the latency objective
	Rejected
	Failed
	Abandoned // the client disconnected before the answer
)

// The label indexes of Rejections.
const (
	NoCapacity = iota // by the decision module
	TooManySessions
	BadFields
	BadCommand
	NotReady
	NoSuchSession
	NoSuchDatabase
	Killed
)

// The label indexes of Engines.
const (
	Ready = iota
	SlowStart
	Ejected
	Draining
)

// The label indexes of Connections.
const (
	ClientSide = iota
	EngineSide
)

// SeriesPerName returns the number of series that a metric has for each name.
func (id ID) SeriesPerName() int { return max(1, len(Catalogue[id].LabelValues)) }

// Find returns the ID of the metric with an exported name.
func Find(name string) (ID, bool) {
	for id := range metricCount {
		if Catalogue[id].Name == name {
			return id, true
		}
	}
	return 0, false
}

// Markdown returns the catalogue as a Markdown table, which the operators' page contains.
func Markdown() string {
	var table strings.Builder
	table.WriteString("| figure | kind | unit | by | detail | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range Catalogue {
		metric := &Catalogue[i]
		detail := metric.Label
		if metric.Label == "reason" {
			detail += ": a reason code of the log"
		} else if len(metric.LabelValues) > 0 {
			detail += ": " + strings.Join(metric.LabelValues, ", ")
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n",
			metric.Name, metric.Kind, metric.Unit, metric.Dimension, detail, metric.Help)
	}
	return table.String()
}
