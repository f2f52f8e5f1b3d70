package metrics

import (
	"fmt"
	"strings"

	"wheatlane/internal/invariant"
)

// Kind is how a figure behaves.
type Kind int

// The kinds of figures.
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
	Tenant
	Engine
	DataSet // by number
	Destination
	dimensionCount
)

func (d Dimension) String() string {
	return [...]string{"", "class", "tenant", "engine", "data_set", "destination"}[d]
}

// Descriptor is an entry of the catalogue.
type Descriptor struct {
	Name        string // as exported
	Kind        Kind
	Unit        string // of a value: ms, bytes, ...; empty: a plain number
	Dimension   Dimension
	Label       string   // that LabelValues are of; empty: there is one series a name
	LabelValues []string // by the LabelIndex of their series
	Help        string
}

// The label values of figures, as exported. Their order is that of the constants below, or of the type they are
// named by.
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
	// RequestEndCauseNames are the causes of the ends of requests, as the log has them.
	RequestEndCauseNames = []string{
		"served", "module_rejected", "module_failed", "final_answer", "killed", "client_closed",
		"client_half_closed", "queue_overflow", "queued_request_due",
	}
	// InvariantNames are the rules that a broker checks on itself, as the log has them.
	InvariantNames = invariant.RuleNames[:]
	// EndReasons are the reason codes of ended connections, as the log has them.
	EndReasons = []string{
		"peer_closed", "peer_reset", "quit", "idle", "login_timeout", "read_timeout", "access_denied",
		"malformed", "too_large", "buffer_full", "write_timeout", "killed", "made_room",
		"too_many_connections", "connect_failed", "engine_gone", "stalled", "retired", "silent", "moved",
		"http_status", "shutdown", "failed",
	}
)

// The label indexes of Answers and AnswersByTenant.
const (
	InTime = iota // served within the latency objective, or without one
	Late          // served after it
	Rejected
	Failed
	Abandoned // the client stopped waiting
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

// SeriesPerName is how many series a figure has for each name.
func (id ID) SeriesPerName() int { return max(1, len(Catalogue[id].LabelValues)) }

// Find is the figure of an exported name.
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
	var table strings.Builder
	table.WriteString("| figure | kind | unit | by | detail | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range Catalogue {
		figure := &Catalogue[i]
		detail := figure.Label
		if figure.Label == "reason" {
			detail += ": a reason code of the log"
		} else if len(figure.LabelValues) > 0 {
			detail += ": " + strings.Join(figure.LabelValues, ", ")
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n",
			figure.Name, figure.Kind, figure.Unit, figure.Dimension, detail, figure.Help)
	}
	return table.String()
}
