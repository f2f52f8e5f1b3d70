package broker

import (
	"maps"
	"time"
)

// Clients write requests of one order key no closer than keySpacing, or than keySpacingNewConnection after
// one that came on a new connection. The slack is for the time to here.
const (
	keySpacing              = 60 * time.Millisecond
	keySpacingNewConnection = 250 * time.Millisecond
	keySpacingSlack         = 15 * time.Millisecond
)

const (
	// answerMargin is more than the time of a request to here and of its answer back, both processes' delays
	// included.
	answerMargin = 12 * time.Millisecond
	// answerMarginFraction is the largest part of a client's timeout that is kept as a margin.
	answerMarginFraction = 0.15
	// minBurstsToSweep is the number of bursts from which those that are over are looked for.
	minBurstsToSweep = 32
)

// keyBurst is a run of requests of one order key, each written as soon after the one before as clients do.
type keyBurst struct {
	startedAt, lastSentAt time.Duration
	lastOnNewConnection   bool // the last request was the first on its connection
}

// covers tells whether a request written at a time may have been held back by its client for this burst.
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
	sweepAt int // with so many bursts, those that are over are removed
}

func newKeyBurstTable() keyBurstTable {
	return keyBurstTable{byKey: map[string]*keyBurst{}, sweepAt: minBurstsToSweep}
}

// clientWaitStart is the earliest time at which a client may have begun to wait for a request. Clients hold a
// request back while another of its key was written just before, but count their wait from when they meant to
// send it. Of a request in a burst it is only certain that it was not meant before the first of the burst.
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

// sweep removes the bursts that are over, once there are many: order keys may always be new.
func (t *keyBurstTable) sweep(now time.Duration) {
	if len(t.byKey) < t.sweepAt {
		return
	}
	maps.DeleteFunc(t.byKey, func(_ string, burst *keyBurst) bool { return !burst.covers(now) })
	t.sweepAt = max(minBurstsToSweep, 2*len(t.byKey))
}

// answerMarginOf is how long before a request's timeout its final answer must be sent. The client's wait
// began before its bytes came here, and the answer must arrive within it. (Measured where engines hang:
// clients gave up 3 to 7 ms before the time that was known here, and with an order key 34 to 98 ms.)
func answerMarginOf(r Request, waitStart time.Duration) time.Duration {
	margin := answerMargin
	if r.OrderKey != "" && waitStart == r.SentAt {
		// The client may have held it back for another request of its key that went to another broker.
		margin = keySpacingNewConnection + keySpacingSlack
	}
	return min(margin, time.Duration(answerMarginFraction*float64(r.Timeout)))
}
