// Package rollout implements canary releases of configurations: it decides whether a new configuration becomes a
// canary, evaluates it with a sequential test, promotes it or rolls it back, and defers or rejects configurations
// that are proposed meanwhile. It does no I/O, reads no clock and starts no goroutine: events go in, actions come
// out.
package rollout

import "time"

// Version identifies a configuration by a hash of its content.
type Version string

// Config holds the parameters of a Controller.
type Config struct {
	// CanaryDuration is the time after which a harmless canary with enough traffic is promoted.
	CanaryDuration time.Duration
	// MaxCanaryDuration is the time after which a canary is promoted despite too little traffic to decide.
	MaxCanaryDuration time.Duration
	// MinRequests is the number of completed requests that suffice to decide.
	MinRequests float64
	// SignificanceLevel is the upper bound of the probability that a harmless canary is rolled back.
	SignificanceLevel float64
	// Tolerance is the allowed increase of the bad ratio over the baseline, as a fraction of requests.
	Tolerance float64
	// RollbackBackoff is the time for which a version isn't retried after its first rollback; it doubles with
	// each further one.
	RollbackBackoff time.Duration
	// CanaryWindow is the window of the limit MaxCanaries.
	CanaryWindow time.Duration
	// MaxCanaries is the number of canaries that may start within CanaryWindow.
	MaxCanaries int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		CanaryDuration:    2 * time.Minute,
		MaxCanaryDuration: 15 * time.Minute,
		MinRequests:       500,
		SignificanceLevel: 0.01,
		Tolerance:         0.01,
		RollbackBackoff:   time.Hour,
		CanaryWindow:      10 * time.Minute,
		MaxCanaries:       5,
	}
}

// Event is an input of a Controller: Proposed, Observed or ApplyFailed.
type Event interface{ event() }

type (
	// Proposed reports a new configuration that has passed the checker.
	Proposed struct{ Version Version }

	// Observed reports the requests that completed under the active configuration since the previous Observed
	// event.
	Observed struct {
		Classes  map[string]Counts // by request class
		Duration time.Duration     // since the previous Observed event
	}

	// ApplyFailed reports that a configuration could not be activated, and that the previous one is still
	// active.
	ApplyFailed struct {
		Version Version
		Reason  string
	}
)

func (Proposed) event()    {}
func (Observed) event()    {}
func (ApplyFailed) event() {}

// Action is an output of a Controller: Apply or Decision.
type Action interface{ action() }

type (
	// Apply activates a configuration; requests in flight retain the class that they were admitted with.
	Apply struct{ Version Version }

	// Decision reports a decision for the log and the status.
	Decision struct {
		Version Version
		Outcome Outcome
		Reason  string
	}
)

func (Apply) action()    {}
func (Decision) action() {}

// Outcome is the outcome of a decision about a configuration.
type Outcome string

// The outcomes, with their values in logs.
const (
	CanaryStarted    Outcome = "tried"
	Promoted         Outcome = "kept"
	PromotedUnproven Outcome = "kept_unproven" // promoted with too little traffic to decide
	RolledBack       Outcome = "rolled_back"
	Rejected         Outcome = "refused"   // not accepted as a canary, or can't be applied
	Deferred         Outcome = "waits"     // until the running canary has ended
	Withdrawn        Outcome = "withdrawn" // the stable version was proposed while the canary ran
)
