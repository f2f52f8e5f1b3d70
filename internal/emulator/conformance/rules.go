package conformance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// requestIDs returns the ids of all requests in ascending order, which makes the order of violations deterministic.
func (c *Checker) requestIDs() []string { return slices.Sorted(maps.Keys(c.requests)) }

// checkOutcomes checks that each request was answered correctly, or is still within its timeout.
func (c *Checker) checkOutcomes(report *Report, now time.Time) {
	for _, id := range c.requestIDs() {
		r := c.requests[id]
		report.Outcomes[r.Outcome]++
		waited := now.Sub(r.SentAt)
		switch {
		case r.Outcome == Unanswered || r.Outcome == WrongAnswer:
			report.violation("request %s of %s: %s", id, r.Class, r.Outcome)
		case r.Outcome == "" && waited > r.Timeout+c.rules.Slack:
			report.violation("request %s of %s has no answer after %v", id, r.Class, waited)
		}
	}
}

// checkAttempts checks that each attempt belongs to a request and respects drains, and checks the number of attempts of
// each request.
func (c *Checker) checkAttempts(report *Report) {
	count := map[string]int{}
	for _, a := range c.attempts {
		count[a.requestID]++
		if c.requests[a.requestID] == nil {
			report.violation("engine %s got %s, which no client sent", a.engine, a.requestID)
			continue
		}
		since, draining := c.drainingSince[a.engine]
		if late := a.startedAt.Sub(since); draining && late > c.rules.DrainGrace+c.rules.Slack {
			report.violation("engine %s got %s %v after its drain was published", a.engine, a.requestID, late)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(count)) {
		r := c.requests[id]
		if r != nil && c.rules.MaxAttempts > 0 && count[id] > c.rules.MaxAttempts {
			report.violation("request %s of %s: %d attempts", id, r.Class, count[id])
		}
		if r != nil && r.NonIdempotent && count[id] > 1 {
			report.violation("request %s of %s, which may run once: %d attempts", id, r.Class, count[id])
		}
	}
}

// checkKeyOrder checks that requests of one order key run one at a time, in the order in which clients sent them.
func (c *Checker) checkKeyOrder(report *Report) {
	byKey := map[string][]*attempt{}
	for _, a := range c.attempts {
		if r := c.requests[a.requestID]; r != nil && r.OrderKey != "" {
			byKey[r.OrderKey] = append(byKey[r.OrderKey], a)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		attempts := byKey[key]
		slices.SortFunc(attempts, func(a, b *attempt) int {
			return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.requestID, b.requestID))
		})
		for i, later := range attempts {
			for _, earlier := range attempts[:i] {
				c.checkKeyPair(report, key, earlier, later)
			}
		}
	}
}

// checkKeyPair checks two attempts of one order key.
func (c *Checker) checkKeyPair(report *Report, key string, earlier, later *attempt) {
	if earlier.requestID == later.requestID {
		return
	}
	if earlier.overlaps(later) {
		report.violation("key %s: %s ran at %s while %s ran at %s",
			key, later.requestID, later.engine, earlier.requestID, earlier.engine)
	}
	if c.requests[earlier.requestID].SentAt.After(c.requests[later.requestID].SentAt) {
		report.violation("key %s: %s ran ahead of %s, which was sent before it",
			key, earlier.requestID, later.requestID)
	}
}

// checkDisconnects checks that requests that no engine had received when their clients disconnected are not sent to an
// engine after the grace period.
func (c *Checker) checkDisconnects(report *Report) {
	firstAttempt := map[string]time.Time{}
	for _, a := range c.attempts {
		if at, known := firstAttempt[a.requestID]; !known || a.startedAt.Before(at) {
			firstAttempt[a.requestID] = a.startedAt
		}
	}
	for _, id := range c.requestIDs() {
		r := c.requests[id]
		startedAt, sent := firstAttempt[id]
		if r.Outcome != ClientDisconnected || sent && !startedAt.After(r.EndedAt) {
			continue
		}
		report.UnsentAtDisconnect++
		if late := startedAt.Sub(r.EndedAt); sent && late > c.rules.DisconnectGrace {
			report.SentAfterDisconnect++
			report.violation("request %s of %s was sent to an engine %v after its client had left", id, r.Class, late)
		}
	}
}

// checkHedging checks that no request has two attempts in flight at the same time.
func (c *Checker) checkHedging(report *Report) {
	byRequest := map[string][]*attempt{}
	for _, a := range c.attempts {
		byRequest[a.requestID] = append(byRequest[a.requestID], a)
	}
	for _, id := range slices.Sorted(maps.Keys(byRequest)) {
		attempts := slices.SortedFunc(slices.Values(byRequest[id]), func(a, b *attempt) int {
			return a.startedAt.Compare(b.startedAt)
		})
		for i, later := range attempts[1:] {
			if earlier := attempts[i]; earlier.overlaps(later) {
				report.violation("request %s was in flight at %s and %s at once", id, earlier.engine, later.engine)
			}
		}
	}
}
