package main

import (
	"cmp"
	"slices"
	"time"
)

// minKeyInterval is the time between two requests of one order key that makes their order certain.
const minKeyInterval = 60 * time.Millisecond

// brokerKey is an order key at one broker.
type brokerKey struct{ broker, key string }

// verifyOrder checks that no request of an order key begins before an earlier one of the same key and broker.
func (h *history) verifyOrder(v *verdict, records map[string]*requestRecord) {
	byKey := map[brokerKey][]*requestRecord{}
	for _, record := range records {
		if record.sent != nil && record.sent.Key != "" && len(record.attempts) > 0 {
			of := brokerKey{record.sent.Broker, record.sent.Key}
			byKey[of] = append(byKey[of], record)
		}
	}
	for _, ofKey := range byKey {
		slices.SortFunc(ofKey, func(a, b *requestRecord) int {
			return cmp.Compare(a.sent.At.UnixNano(), b.sent.At.UnixNano())
		})
		for i := 1; i < len(ofKey); i++ {
			h.verifyPair(v, ofKey[i-1], ofKey[i])
		}
	}
}

// verifyPair checks two requests of one key that were sent one after the other. Where a process was paused, replaced or
// an engine late, their order at the engines is not known.
func (h *history) verifyPair(v *verdict, earlier, later *requestRecord) {
	if later.sent.At.Sub(earlier.sent.At) < minKeyInterval {
		return
	}
	first, second := earlier.attempts[0], later.attempts[0]
	passed := first.At.Sub(second.At)
	if passed <= clockSlack || h.isOrderUncertain(earlier, later) {
		return
	}
	v.addFinding("%s began %v before %s of its key, which was sent %v earlier", later.sent.Request,
		passed.Round(time.Millisecond), earlier.sent.Request, later.sent.At.Sub(earlier.sent.At).Round(time.Millisecond))
}

// isOrderUncertain reports whether a fault may have changed the order in which two requests arrived at their engines.
func (h *history) isOrderUncertain(earlier, later *requestRecord) bool {
	broker, from, to := earlier.sent.Broker, earlier.sent.At, earlier.attempts[0].At
	overlaps := func(s span) bool { return s.overlaps(from, to, settleTime) }
	return slices.ContainsFunc(h.upgrades[broker], overlaps) || slices.ContainsFunc(h.brokerStops[broker], overlaps) ||
		slices.ContainsFunc(h.brokerKills[broker], overlaps) ||
		slices.ContainsFunc(h.engineDelays[earlier.attempts[0].Engine], overlaps) ||
		slices.ContainsFunc(h.engineDelays[later.attempts[0].Engine], overlaps)
}
