// Package clientdeadline estimates when the timeout of a client's request began, and so by when the answer must leave. A
// timeout runs from when the client decided to send the request. That can be earlier than its arrival: clients space
// the requests of one order key, and bytes may wait in a socket before they are read.
package clientdeadline

import (
	"maps"
	"time"
)

// Clients keep these spacings between two requests of one order key.
const (
	keySpacing              = 60 * time.Millisecond
	newConnectionKeySpacing = 250 * time.Millisecond // after a request that was the first on its connection
	transitSlack            = 15 * time.Millisecond  // by which a spacing may be longer where the requests arrive
)

const (
	// TransitReserve is an upper bound of the transit times of a request and its answer together, including the delays
	// within the two processes. An answer must leave at once if no more time than that is left.
	TransitReserve = 12 * time.Millisecond
	// maxReserveFraction is the largest fraction of a timeout that is kept as a margin.
	maxReserveFraction = 0.15
	// minBurstsToSweep is the smallest number of bursts at which ended ones are removed.
	minBurstsToSweep = 32
	// sweepGrowth is the growth of the number of bursts after which ended ones are removed again.
	sweepGrowth = 2
)

// Request is what is known of when a request was sent. Times are those of the reducer.
type Request struct {
	SentAt            time.Duration // arrival of its last byte
	EarliestSentAt    time.Duration // its earliest possible arrival, if that is before SentAt; 0: it is not
	Timeout           time.Duration // of its client
	OrderKey          string        // empty: none
	FirstOnConnection bool          // no request came on its connection before
}

// QueuedDeadline returns the time by which the answer to a request must leave that is queued behind another one of its
// connection. It takes no account of bursts.
func QueuedDeadline(request Request) time.Duration {
	deadline := request.SentAt + request.Timeout - answerReserve(request, request.SentAt)
	if request.EarliestSentAt > 0 {
		deadline = min(deadline, request.EarliestSentAt+request.Timeout)
	}
	return deadline
}

// answerReserve returns how long before the end of the timeout an answer must leave, if the timeout is estimated to have begun
// at timeoutStart.
func answerReserve(request Request, timeoutStart time.Duration) time.Duration {
	reserve := TransitReserve
	if request.OrderKey != "" && timeoutStart == request.SentAt {
		// The client may have delayed it after a request of the same key to another broker.
		reserve = newConnectionKeySpacing + transitSlack
	}
	return min(reserve, time.Duration(maxReserveFraction*float64(request.Timeout)))
}

// Estimator computes deadlines from the bursts of each order key. Its zero value is not usable; New makes one.
type Estimator struct {
	bursts         map[string]*burst
	sweepThreshold int // number of bursts at which ended ones are removed
}

// New returns an estimator that has seen no request.
func New() *Estimator {
	return &Estimator{bursts: map[string]*burst{}, sweepThreshold: minBurstsToSweep}
}

// Deadline returns the time by which the answer to a request must leave, and adds the request to the burst of its order
// key.
func (e *Estimator) Deadline(request Request) time.Duration {
	timeoutStart := e.timeoutStart(request)
	reserve := answerReserve(request, timeoutStart)
	if request.EarliestSentAt > 0 {
		timeoutStart = min(timeoutStart, request.EarliestSentAt)
	}
	return timeoutStart + request.Timeout - reserve
}

// timeoutStart returns the earliest time at which the timeout of a request may have begun: its arrival, or the start of
// the burst of its order key, as the client may have delayed it since then.
func (e *Estimator) timeoutStart(request Request) time.Duration {
	if request.OrderKey == "" {
		return request.SentAt
	}
	current := e.bursts[request.OrderKey]
	if current == nil || !current.covers(request.SentAt) {
		e.sweep(request.SentAt)
		current = &burst{startedAt: request.SentAt}
		e.bursts[request.OrderKey] = current
	}
	current.lastSentAt = max(current.lastSentAt, request.SentAt)
	current.lastOnNewConnection = request.FirstOnConnection
	return min(current.startedAt, request.SentAt)
}

// sweep removes the bursts that have ended once there are many, as clients may use each order key only once.
func (e *Estimator) sweep(now time.Duration) {
	if len(e.bursts) < e.sweepThreshold {
		return
	}
	maps.DeleteFunc(e.bursts, func(_ string, old *burst) bool { return !old.covers(now) })
	e.sweepThreshold = max(minBurstsToSweep, sweepGrowth*len(e.bursts))
}

// burst is a run of requests of one order key, each so soon after the previous one that its client may have delayed it
// to keep the spacing.
type burst struct {
	startedAt           time.Duration // arrival of its first request
	lastSentAt          time.Duration
	lastOnNewConnection bool // the last request was the first on its connection
}

// covers reports whether a request that was sent at a time belongs to the burst.
func (b *burst) covers(sentAt time.Duration) bool {
	spacing := keySpacing
	if b.lastOnNewConnection {
		spacing = newConnectionKeySpacing
	}
	return sentAt-b.lastSentAt < spacing+transitSlack
}
