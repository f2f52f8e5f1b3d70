// Package clientwait estimates since when a client has been waiting for a request, and so by when its answer must
// leave. Clients count their timeout from when they meant to send a request. They hold one back until a spacing has
// passed since the previous one of the same order key, and a request may have waited in the system before it was read.
package clientwait

import (
	"maps"
	"time"
)

// The protocol's spacing of requests of one order key.
const (
	keySpacing              = 60 * time.Millisecond
	newConnectionKeySpacing = 250 * time.Millisecond // after a request that came on a new connection
	transitSlack            = 15 * time.Millisecond  // added to both
)

const (
	// MinMargin is an upper bound of the transit time of a request and of its answer together, with the delays of
	// both processes. With no more time than that left, an answer must leave at once.
	MinMargin = 12 * time.Millisecond
	// maxMarginFraction is the largest fraction of a client's timeout that is kept as a margin.
	maxMarginFraction = 0.15
	// minBurstsToSweep is the smallest number of bursts at which old ones are removed.
	minBurstsToSweep = 32
)

// Request is what is known of when a request was sent. Times are those of the broker's clock.
type Request struct {
	SentAt            time.Duration // when its last byte came
	WaitingSince      time.Duration // when it may have come, if that can be earlier; 0: it can't
	Timeout           time.Duration // how long its client waits
	OrderKey          string        // empty: none
	FirstOnConnection bool          // nothing came on its connection before
}

// QueuedDeadline is the time by which the answer to a request must leave that is queued behind another one of its
// connection.
func QueuedDeadline(r Request) time.Duration {
	deadline := r.SentAt + r.Timeout - margin(r, r.SentAt)
	if r.WaitingSince > 0 {
		deadline = min(deadline, r.WaitingSince+r.Timeout)
	}
	return deadline
}

// margin is the time between the final answer to a request and its timeout: the client's wait began before the
// request was read, and the answer must arrive before the wait ends.
func margin(r Request, waitStart time.Duration) time.Duration {
	needed := MinMargin
	if r.OrderKey != "" && waitStart == r.SentAt {
		// The client may have held it back for a request of the same key that went to another broker.
		needed = newConnectionKeySpacing + transitSlack
	}
	return min(needed, time.Duration(maxMarginFraction*float64(r.Timeout)))
}

// Estimator follows the bursts of each order key. Its zero value is not usable; New makes one.
type Estimator struct {
	byKey   map[string]*burst
	sweepAt int // number of bursts at which old ones are removed
}

// New returns an estimator that has seen no request.
func New() *Estimator {
	return &Estimator{byKey: map[string]*burst{}, sweepAt: minBurstsToSweep}
}

// Deadline is the time by which the answer to a request must leave.
func (e *Estimator) Deadline(r Request) time.Duration {
	waitStart := e.waitStart(r)
	kept := margin(r, waitStart)
	if r.WaitingSince > 0 {
		waitStart = min(waitStart, r.WaitingSince)
	}
	return waitStart + r.Timeout - kept
}

// waitStart is the earliest time at which a client may have begun to wait for a request. For one in a burst of its
// order key, the only bound known is the first request of the burst.
func (e *Estimator) waitStart(r Request) time.Duration {
	if r.OrderKey == "" {
		return r.SentAt
	}
	current := e.byKey[r.OrderKey]
	if current == nil || !current.covers(r.SentAt) {
		e.sweep(r.SentAt)
		current = &burst{startedAt: r.SentAt}
		e.byKey[r.OrderKey] = current
	}
	current.lastSentAt = max(current.lastSentAt, r.SentAt)
	current.lastOnNewConnection = r.FirstOnConnection
	return min(current.startedAt, r.SentAt)
}

// sweep removes old bursts once there are many: clients may use each order key once.
func (e *Estimator) sweep(now time.Duration) {
	if len(e.byKey) < e.sweepAt {
		return
	}
	maps.DeleteFunc(e.byKey, func(_ string, old *burst) bool { return !old.covers(now) })
	e.sweepAt = max(minBurstsToSweep, 2*len(e.byKey))
}

// burst is a run of requests of one order key, each written as soon after the previous one as the protocol allows.
type burst struct {
	startedAt           time.Duration
	lastSentAt          time.Duration
	lastOnNewConnection bool // the last request was the first on its connection
}

// covers reports whether a request sent at a time may have been held back by its client for this burst.
func (b *burst) covers(sentAt time.Duration) bool {
	spacing := keySpacing
	if b.lastOnNewConnection {
		spacing = newConnectionKeySpacing
	}
	return sentAt-b.lastSentAt < spacing+transitSlack
}
