// Package conformance checks the events that clients, engines and the change log observed against the rules of the
// protocol. Its results do not depend on anything that brokers report about themselves. The package does no I/O and
// reads no clock.
package conformance

import (
	"fmt"
	"sync"
	"time"
)

const maxViolations = 50 // violations reported

// Rules configures the rules of a Checker.
type Rules struct {
	DrainGrace  time.Duration // engines may receive new requests for this time after their drain was published
	Slack       time.Duration // tolerance of times, for delays of sockets and clocks
	MaxAttempts int           // maximum attempts of a request; 0 for no limit
	// DisconnectGrace is the time after a client's disconnect in which its request may still be sent to a first engine;
	// 0 for no limit.
	DisconnectGrace time.Duration
	NoHedging       bool // a request may have only one attempt in flight
}

// Outcome is the outcome of a request at its client.
type Outcome string

// The outcomes of requests.
const (
	Served             Outcome = "served"
	Rejected           Outcome = "refused"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"  // the client disconnected
	Unanswered         Outcome = "lost"  // the connection ended without an answer
	WrongAnswer        Outcome = "wrong" // the answer is not the engines' result for the request
)

// Request is a request that a client has sent.
type Request struct {
	ID, Class, OrderKey string
	NonIdempotent       bool // must not run twice
	SentAt              time.Time
	Timeout             time.Duration
	Outcome             Outcome // empty while the request is open
	EndedAt             time.Time
}

// attempt is one execution of a request at an engine.
type attempt struct {
	requestID, engine  string
	startedAt, endedAt time.Time // endedAt is zero while the attempt is in flight
}

// overlaps reports whether the attempt was still in flight when a later one started.
func (a *attempt) overlaps(later *attempt) bool {
	return a.endedAt.IsZero() || a.endedAt.After(later.startedAt)
}

type attemptKey struct{ engine, requestID string }

// Checker records events and checks them against its rules. It is safe for concurrent use.
type Checker struct {
	mu            sync.Mutex
	rules         Rules
	requests      map[string]*Request // by id
	attempts      []*attempt
	inFlight      map[attemptKey]*attempt
	drainingSince map[string]time.Time // by engine
}

// New returns a checker without recorded events.
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

// RequestEnded records the outcome of a request at its client.
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

// AttemptEnded records that an attempt at an engine was answered or cancelled.
func (c *Checker) AttemptEnded(engine, requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attemptKey{engine, requestID}
	if a := c.inFlight[key]; a != nil {
		a.endedAt = at
		delete(c.inFlight, key)
	}
}

// EngineDraining records that the change log published an engine as draining or terminated.
func (c *Checker) EngineDraining(engine string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.drainingSince[engine]; !known {
		c.drainingSince[engine] = at
	}
}

// EngineInService records that the change log published an engine as in service.
func (c *Checker) EngineInService(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, engine)
}

// Report is the result of a check.
type Report struct {
	Requests            int
	Outcomes            map[Outcome]int
	Attempts            int
	UnsentAtDisconnect  int // requests that no engine had received when their clients disconnected
	SentAfterDisconnect int // of these, the requests that an engine received after the grace period
	Violations          []string
}

func (r *Report) violation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// Check checks all recorded events against the rules. An open request is a violation only after its timeout.
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
