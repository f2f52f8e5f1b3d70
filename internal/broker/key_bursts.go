package broker

import (
	"maps"
	"time"
)

// Clients write requests of one order key no closer than keySpacing, or than keySpacingNewConnection after
// one that came on a new connection. The slack is for transit.
const (
	keySpacing              = 60 * time.Millisecond
	keySpacingNewConnection = 250 * time.Millisecond
	keySpacingSlack         = 15 * time.Millisecond
)

const (
	// answerMargin is an upper bound of the transit time of a request and of its answer together, with the
	// delays of both processes.
	answerMargin = 12 * time.Millisecond
	// answerMarginFraction is the largest fraction of a client's timeout that is kept as the margin.
	answerMarginFraction = 0.15
	// minBurstsToSweep is the smallest number of bursts at which old ones are removed.
	minBurstsToSweep = 32
)

// keyBurst is a run of requests of one order key, each written as soon after the previous one as the protocol
// allows.
type keyBurst struct {
	startedAt, lastSentAt time.Duration
	lastOnNewConnection   bool // the last request was the first on its connection
}

// covers reports whether a request sent at a time may have been held back by its client for this burst.
func (k *keyBurst) covers(sentAt time.Duration) bool {
	spacing := keySpacing
	if k.lastOnNewConnection {
		spacing = keySpacingNewConnection
	}
	return sentAt-k.lastSentAt < spacing+keySpacingSlack
}

// keyBurstTable holds the last burst of each order key.
type keyBurstTable struct {
	byKey   map[string]*keyBurst
	sweepAt int // number of bursts at which old ones are removed
}

func newKeyBurstTable() keyBurstTable {
	return keyBurstTable{byKey: map[string]*keyBurst{}, sweepAt: minBurstsToSweep}
}

// clientWaitStart is the earliest time at which a client may have begun to wait for a request. Clients hold a
// request back for the spacing of its key, but count their wait from before that. For a request in a burst,
// the only bound known is the first request of the burst.
func (t *keyBurstTable) clientWaitStart(r Request) time.Duration {
	if r.OrderKey == "" {
		return r.SentAt
	}
	burst := t.byKey[r.OrderKey]
	if burst == nil || !burst.covers(r.SentAt) {
		t.sweep(r.SentAt)
		burst = &keyBurst{startedAt: r.SentAt}
		t.byKey[r.OrderKey] = burst
	}
	burst.lastSentAt = max(burst.lastSentAt, r.SentAt)
	burst.lastOnNewConnection = r.FirstOnConnection
	return min(burst.startedAt, r.SentAt)
}

// sweep removes old bursts once there are many: clients may use each order key once.
func (t *keyBurstTable) sweep(now time.Duration) {
	if len(t.byKey) < t.sweepAt {
		return
	}
	maps.DeleteFunc(t.byKey, func(_ string, burst *keyBurst) bool { return !burst.covers(now) })
	t.sweepAt = max(minBurstsToSweep, 2*len(t.byKey))
}

// answerMarginOf is the time between the final answer of a request and its timeout. The client's wait began
// before the request was read here, and the answer must arrive before its end. (Measured where engines hang:
// clients gave up 3 to 7 ms before the timeout as it was known here, those with an order key 34 to 98 ms.)
func answerMarginOf(r Request, waitStart time.Duration) time.Duration {
	margin := answerMargin
	if r.OrderKey != "" && waitStart == r.SentAt {
		// The client may have held it back for a request of the same key that went to another broker.
		margin = keySpacingNewConnection + keySpacingSlack
	}
	return min(margin, time.Duration(answerMarginFraction*float64(r.Timeout)))
}
