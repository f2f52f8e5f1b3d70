// Package conformance checks what clients, engines and the change log saw against the rules of the
// protocol. Nothing that a broker says of itself enters the result. The package does no I/O and reads no
// clock.
package conformance

import (
	"fmt"
	"sync"
	"time"
)

const maxViolations = 50 // texts kept

// Rules are the limits of the rules.
type Rules struct {
	DrainGrace  time.Duration // an engine gets nothing new so long after its drain was published
	Slack       time.Duration // what sockets and clocks add to each time
	MaxAttempts int           // of a request; 0: not checked
	// DisconnectGrace: an engine gets nothing of a request so long after its client has left; 0: not checked.
	DisconnectGrace time.Duration
	NoHedging       bool // a request has at most one attempt in flight
}

// Outcome is how a request ended at its client.
type Outcome string

// The outcomes.
const (
	Served             Outcome = "served"
	Rejected           Outcome = "refused"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"  // the client stopped waiting
	Unanswered         Outcome = "lost"  // the connection ended without an answer
	WrongAnswer        Outcome = "wrong" // served with what no engine made for it
)

// Request is what a client sent.
type Request struct {
	ID, Class, OrderKey string
	NonIdempotent       bool // it may not run twice
	SentAt              time.Time
	Timeout             time.Duration
	Outcome             Outcome // empty while the request is open
	EndedAt             time.Time
}

// attempt is a request at an engine.
type attempt struct {
	requestID, engine  string
	startedAt, endedAt time.Time // endedAt is zero while it is in flight
}

// overlaps reports whether the attempt was in flight still when a later one started.
func (a *attempt) overlaps(later *attempt) bool {
	return a.endedAt.IsZero() || a.endedAt.After(later.startedAt)
}

type attemptKey struct{ engine, requestID string }

// Checker records what happened. It may be used from several goroutines.
type Checker struct {
	mu            sync.Mutex
	rules         Rules
	requests      map[string]*Request // by id
	attempts      []*attempt
	inFlight      map[attemptKey]*attempt
	drainingSince map[string]time.Time // by engine
}

// New returns a checker without records.
func New(r Rules) *Checker {
	return &Checker{
		rules: r, requests: map[string]*Request{},
		inFlight: map[attemptKey]*attempt{}, drainingSince: map[string]time.Time{},
	}
}

// RequestSent records that a client has written a request.
func (c *Checker) RequestSent(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.ID] = &r
}

// RequestEnded records how a request ended at its client.
func (c *Checker) RequestEnded(requestID string, outcome Outcome, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[requestID]; r != nil {
		r.Outcome, r.EndedAt = outcome, at
	}
}

// AttemptReceived records that an engine received a request.
func (c *Checker) AttemptReceived(engine, requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &attempt{requestID: requestID, engine: engine, startedAt: at}
	c.attempts = append(c.attempts, a)
	c.inFlight[attemptKey{engine, requestID}] = a
}

// AttemptEnded records that an engine answered a request, or that it was cancelled there.
func (c *Checker) AttemptEnded(engine, requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attemptKey{engine, requestID}
	if a := c.inFlight[key]; a != nil {
		a.endedAt = at
		delete(c.inFlight, key)
	}
}

// EngineDraining records that the change log published that an engine drains or is gone.
func (c *Checker) EngineDraining(engine string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.drainingSince[engine]; !known {
		c.drainingSince[engine] = at
	}
}

// EngineInService records that an engine takes work, again or anew.
func (c *Checker) EngineInService(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, engine)
}

// Report is what a check found.
type Report struct {
	Requests            int
	Outcomes            map[Outcome]int
	Attempts            int
	UnsentAtDisconnect  int // requests that no engine had when their clients left
	SentAfterDisconnect int // of these, those that an engine got after the grace
	Violations          []string
}

func (r *Report) violation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// Check checks all that happened up to now against the rules. An open request is a violation only once its
// timeout has passed.
func (c *Checker) Check(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Requests: len(c.requests), Outcomes: map[Outcome]int{}, Attempts: len(c.attempts)}
	c.checkOutcomes(&r, now)
	c.checkAttempts(&r)
	c.checkKeyOrder(&r)
	if c.rules.DisconnectGrace > 0 {
		c.checkDisconnects(&r)
	}
	if c.rules.NoHedging {
		c.checkHedging(&r)
	}
	return r
}
