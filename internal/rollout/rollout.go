// Package rollout decides what becomes of a new configuration by a canary release: whether it is tried, how
// long, by which sequential test it is promoted or rolled back, and what happens to another one that arrives
// meanwhile. It does no I/O, reads no clock and starts no goroutine: events go in, actions come out.
package rollout

import "time"

// Version identifies a configuration by a hash of its content.
type Version string

// Config holds the parameters of a Controller.
type Config struct {
	// CanaryDuration is how long a canary runs if nothing speaks against it.
	CanaryDuration time.Duration
	// MaxCanaryDuration is how long it runs at most while there is too little traffic to decide.
	MaxCanaryDuration time.Duration
	// MinRequests is the number of completed requests that suffice to decide.
	MinRequests float64
	// SignificanceLevel bounds the probability that a harmless canary is rolled back.
	SignificanceLevel float64
	// Tolerance is the additional bad ratio that a canary may have over the baseline.
	Tolerance float64
	// RollbackBackoff is how long a version that was rolled back is not retried; doubled each time.
	RollbackBackoff time.Duration
	// CanaryWindow is the window over which canaries are counted.
	CanaryWindow time.Duration
	// MaxCanaries is the number of canaries that may start within CanaryWindow.
	MaxCanaries int
}

// DefaultConfig returns the parameters of a sidecar without settings of its own.
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

	// Observed reports the requests that completed under the active configuration since the last such
	// event.
	Observed struct {
		Classes  map[string]Counts // by request class
		Duration time.Duration
	}

	// ApplyFailed reports that a configuration could not be activated, and that the one before is still
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
	// Apply activates a configuration; requests in flight keep the class that they were admitted under.
	Apply struct{ Version Version }

	// Decision reports what was decided, for the log and for the status.
	Decision struct {
		Version Version
		Outcome Outcome
		Reason  string
	}
)

func (Apply) action()    {}
func (Decision) action() {}

// Outcome is what was decided about a configuration.
type Outcome string

// The outcomes, as logs have them.
const (
	CanaryStarted    Outcome = "tried"
	Promoted         Outcome = "kept"
	PromotedUnproven Outcome = "kept_unproven" // there was too little traffic to decide
	RolledBack       Outcome = "rolled_back"
	Rejected         Outcome = "refused" // it does not become a canary
	Deferred         Outcome = "waits"   // until the running canary is decided
	Withdrawn        Outcome = "withdrawn"
)
