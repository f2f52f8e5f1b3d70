// Package clientdeadline estimates when a client's timeout for a request began, and computes the deadline for sending
// the answer. The timeout begins when the client decides to send the request, which may be earlier than its arrival:
// clients delay requests of the same order key to space them, and bytes may wait in a socket buffer before the broker
// reads them.
package clientdeadline

import (
	"maps"
	"time"
)

// Clients space successive requests of one order key by these intervals.
const (
	keySpacing              = 60 * time.Millisecond
	newConnectionKeySpacing = 250 * time.Millisecond // after the first request on a connection
	transitSlack            = 15 * time.Millisecond  // by which transit may lengthen the spacing of arrivals
)

const (
	// TransitReserve is an upper bound of the total transit time of a request and its answer, including delays within
	// the client and the broker. If no more time than that is left, the answer must be sent immediately.
	TransitReserve = 12 * time.Millisecond
	// maxReserveFraction limits the time reserved before the end of a timeout to a fraction of the timeout.
	maxReserveFraction = 0.15
	// minBurstsToSweep is the minimum number of bursts at which ended bursts are removed.
	minBurstsToSweep = 32
	// sweepGrowth is the factor by which the number of bursts must grow before ended bursts are removed again.
	sweepGrowth = 2
)

// Request holds the send times and the timeout of a request. Times are those of the reducer.
type Request struct {
	SentAt            time.Duration // arrival of its last byte
	EarliestSentAt    time.Duration // earliest possible arrival, if before SentAt; 0: not before SentAt
	Timeout           time.Duration // the client's timeout
	OrderKey          string        // empty: none
	FirstOnConnection bool          // it is the first request on its connection
}

// QueuedDeadline returns the deadline for sending the answer to a request that is queued behind another request on its
// connection. It does not take bursts into account.
func QueuedDeadline(request Request) time.Duration {
	deadline := request.SentAt + request.Timeout - answerReserve(request, request.SentAt)
	if request.EarliestSentAt > 0 {
		deadline = min(deadline, request.EarliestSentAt+request.Timeout)
	}
	return deadline
}

// answerReserve returns how long before the end of the timeout the answer must be sent, given the estimated start of
// the timeout.
func answerReserve(request Request, timeoutStart time.Duration) time.Duration {
	reserve := TransitReserve
	if request.OrderKey != "" && timeoutStart == request.SentAt {
		// The client may have delayed this request after one of the same key that it sent to another broker.
		reserve = newConnectionKeySpacing + transitSlack
	}
	return min(reserve, time.Duration(maxReserveFraction*float64(request.Timeout)))
}

// Estimator computes deadlines from the bursts of each order key. Use New to create one. It is not safe for concurrent
// use.
type Estimator struct {
	bursts         map[string]*burst // by order key
	sweepThreshold int               // number of bursts at which ended bursts are removed
}

// New returns an Estimator without bursts.
func New() *Estimator {
	return &Estimator{bursts: map[string]*burst{}, sweepThreshold: minBurstsToSweep}
}

// Deadline returns the deadline for sending the answer to a request, and adds the request to the burst of its order
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
// the burst of its order key, as the client may have delayed the request since then.
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

// sweep removes ended bursts once their number reaches sweepThreshold. Clients may use an order key only once, so
// bursts would accumulate otherwise.
func (e *Estimator) sweep(now time.Duration) {
	if len(e.bursts) < e.sweepThreshold {
		return
	}
	maps.DeleteFunc(e.bursts, func(_ string, old *burst) bool { return !old.covers(now) })
	e.sweepThreshold = max(minBurstsToSweep, sweepGrowth*len(e.bursts))
}

// burst is a sequence of requests of one order key, each so soon after the previous one that the client may have
// delayed it to keep the spacing.
type burst struct {
	startedAt           time.Duration // arrival of its first request
	lastSentAt          time.Duration // arrival of its last request
	lastOnNewConnection bool          // the last request was the first on its connection
}

// covers reports whether a request sent at sentAt belongs to the burst.
func (b *burst) covers(sentAt time.Duration) bool {
	spacing := keySpacing
	if b.lastOnNewConnection {
		spacing = newConnectionKeySpacing
	}
	return sentAt-b.lastSentAt < spacing+transitSlack
}
