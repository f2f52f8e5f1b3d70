package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The bounds that the verifier applies.
const (
	clockSlack       = 50 * time.Millisecond // tolerance for delays in processes and sockets
	maxStartAfterEnd = 100 * time.Millisecond
	timeoutSlack     = 150 * time.Millisecond
	drainGrace       = 500 * time.Millisecond
	updateBound      = 7 * time.Second // brokers must have applied a change of the change log by then, whatever happens
	updateTolerance  = time.Second     // before and after a fault, in which an update may be late
	maintenanceBound = time.Second     // from the call to the last attempt sent
	// requestsAfterTerm is how long after SIGTERM a broker still owes an answer to new requests.
	requestsAfterTerm = 200 * time.Millisecond
	// settleTime is how long a process pause or held bytes have effects after their end, as the broker or engine
	// processes what has queued up.
	settleTime = 400 * time.Millisecond
)

// span is the time in which a condition held.
type span struct{ from, to time.Time }

// overlaps reports whether the span, extended by slack at its end, overlaps the time between from and to.
func (s span) overlaps(from, to time.Time, slack time.Duration) bool {
	return !s.from.After(to) && !s.to.Add(slack).Before(from)
}

// history holds the events that the processes of a run reported and the faults that the run injected.
type history struct {
	events []Event

	brokerKills      map[string][]span      // by broker: SIGKILL to restart; requests open then are owed no answer
	brokerTerms      map[string][]time.Time // by broker: SIGTERM
	brokerStops      map[string][]span      // by broker: process pauses by SIGSTOP
	connectionBreaks map[string][]span      // by broker: faults that end its connections
	engineDelays     map[string][]span      // by engine: process pauses, held bytes, delayed connections
	changelogFaults  []span
	outages          []span            // of the change log; a drain after one must be kept in time
	upgrades         map[string][]span // by broker: two processes
	drains           map[string][]span // by engine, from the publication on
	maintenance      map[string][]span // by engine, once every broker has acknowledged it
}

func newHistory() *history {
	return &history{
		brokerKills: map[string][]span{}, brokerTerms: map[string][]time.Time{}, brokerStops: map[string][]span{},
		connectionBreaks: map[string][]span{}, upgrades: map[string][]span{},
		engineDelays: map[string][]span{}, drains: map[string][]span{}, maintenance: map[string][]span{},
	}
}

// requestRecord holds the events of a request.
type requestRecord struct {
	sent, ended *Event // nil: not reported
	attempts    []*Event
}

// verdict is the result of the verifier.
type verdict struct {
	requests, attempts int
	outcomes           map[Outcome]int
	exempt             int // requests without an answer whose broker owed none because of a fault, see isExempt
	findings           []string
}

func (v *verdict) addFinding(format string, args ...any) {
	v.findings = append(v.findings, fmt.Sprintf(format, args...))
}

// verify checks the history against the rules of the protocol.
func (h *history) verify() verdict {
	v := verdict{outcomes: map[Outcome]int{}}
	records := h.records()
	for _, id := range slices.Sorted(maps.Keys(records)) {
		record := records[id]
		v.attempts += len(record.attempts)
		if record.sent == nil {
			if record.ended == nil {
				v.addFinding("attempt of %s, which no client sent", id)
			}
			continue
		}
		v.requests++
		h.verifyOutcome(&v, record)
		h.verifyAttemptCount(&v, record)
		for _, attempt := range record.attempts {
			h.verifyAttempt(&v, record, attempt)
		}
	}
	h.verifyOrder(&v, records)
	return v
}

// records groups the events by request. Attempts are sorted by time.
func (h *history) records() map[string]*requestRecord {
	records := map[string]*requestRecord{}
	recordOf := func(id string) *requestRecord {
		if records[id] == nil {
			records[id] = &requestRecord{}
		}
		return records[id]
	}
	for i := range h.events {
		event := &h.events[i]
		switch event.Kind {
		case RequestSent:
			recordOf(event.Request).sent = event
		case RequestEnded:
			record := recordOf(event.Request)
			if record.ended == nil || event.Outcome == DuplicateAnswer {
				record.ended = event
			}
		case AttemptReceived:
			record := recordOf(event.Request)
			record.attempts = append(record.attempts, event)
		case AttemptEnded, EngineListening:
		}
	}
	for _, record := range records {
		slices.SortFunc(record.attempts, func(a, b *Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	}
	return records
}

// verifyOutcome checks that a request received exactly one answer, in time.
func (h *history) verifyOutcome(v *verdict, record *requestRecord) {
	if record.ended == nil {
		v.outcomes["open"]++
		return // the run ended first
	}
	v.outcomes[record.ended.Outcome]++
	switch record.ended.Outcome {
	case Served, Rejected, Failed, ClientDisconnected, NotSent:
		return
	case WrongRows, DuplicateAnswer:
	case NoAnswer, ConnectionClosed:
		if h.isExempt(record) {
			v.exempt++
			return
		}
	}
	v.addFinding("%s of %s at %s: %s after %v (%s)",
		record.sent.Request, record.sent.Class, record.sent.Broker, record.ended.Outcome,
		record.ended.At.Sub(record.sent.At).Round(time.Millisecond), record.ended.Detail)
}

// isExempt reports whether the broker owes no answer to a request: the broker was killed while the request was open, a
// fault ended the connection, the broker had received SIGTERM before the request, or it was paused when the client's
// timeout elapsed.
func (h *history) isExempt(record *requestRecord) bool {
	broker := record.sent.Broker
	for _, kill := range h.brokerKills[broker] {
		if kill.overlaps(record.sent.At, record.ended.At, clockSlack) {
			return true
		}
	}
	for _, s := range h.connectionBreaks[broker] {
		if record.ended.Outcome == ConnectionClosed && s.overlaps(record.ended.At, record.ended.At, 0) {
			return true
		}
	}
	for _, at := range h.brokerTerms[broker] {
		sinceTerm := record.sent.At.Sub(at)
		unread := len(record.attempts) == 0 // what was forwarded had been read, and is owed an answer
		if unread && sinceTerm > requestsAfterTerm && sinceTerm < maxCountedTimeout+shutdownGrace+settleTime {
			return true
		}
	}
	due := record.sent.At.Add(record.sent.Timeout)
	return record.ended.Outcome == NoAnswer && slices.ContainsFunc(h.brokerStops[broker], func(s span) bool {
		return s.overlaps(due.Add(-settleTime), due.Add(lateAnswerWindow), 0)
	})
}

// verifyAttemptCount checks that a request that must not be repeated had at most one attempt.
func (h *history) verifyAttemptCount(v *verdict, record *requestRecord) {
	if record.sent.Class == "report" && len(record.attempts) > 1 {
		v.addFinding("%s of %s, which may run once: %d attempts",
			record.sent.Request, record.sent.Class, len(record.attempts))
	}
}

// verifyAttempt checks one attempt. It skips attempts that a fault delayed between the broker and the engine (a process
// pause, held bytes), as the engine reports them later than the broker sent them.
func (h *history) verifyAttempt(v *verdict, record *requestRecord, attempt *Event) {
	delayed := slices.ContainsFunc(h.engineDelays[attempt.Engine], func(s span) bool {
		return s.overlaps(attempt.At, attempt.At, settleTime)
	})
	if delayed {
		return
	}
	if record.ended != nil && record.ended.Outcome == ClientDisconnected {
		if late := attempt.At.Sub(record.ended.At); late > maxStartAfterEnd+clockSlack {
			v.addFinding("%s of %s at %s began %v after its client had left (%s)", record.sent.Request, record.sent.Class,
				attempt.Engine, late.Round(time.Millisecond), record.ended.Detail)
		}
	}
	remaining := record.sent.At.Add(record.sent.Timeout).Sub(attempt.At)
	if over := attempt.Timeout - remaining; over > timeoutSlack+clockSlack {
		v.addFinding("%s of %s at %s: timeout of %v with %v left to the client",
			record.sent.Request, record.sent.Class, attempt.Engine, attempt.Timeout, remaining.Round(time.Millisecond))
	}
	h.verifyAvailability(v, record, attempt)
}

// verifyAvailability checks that the engine of an attempt was neither draining nor in maintenance.
func (h *history) verifyAvailability(v *verdict, record *requestRecord, attempt *Event) {
	for _, s := range h.drains[attempt.Engine] {
		bound := drainGrace + clockSlack
		if h.isUpdateDelayed(record.sent.Broker, s.from) {
			bound += updateBound
		}
		if late := attempt.At.Sub(s.from); late > bound && attempt.At.Before(s.to) {
			v.addFinding("%s at %s %v after its drain was published",
				record.sent.Request, attempt.Engine, late.Round(time.Millisecond))
		}
	}
	for _, s := range h.maintenance[attempt.Engine] {
		if late := attempt.At.Sub(s.from); late > maintenanceBound+clockSlack && attempt.At.Before(s.to) {
			v.addFinding("%s at %s %v after its maintenance began",
				record.sent.Request, attempt.Engine, late.Round(time.Millisecond))
		}
	}
}

// isUpdateDelayed reports whether a fault may have delayed a change of the endpoint list at a broker.
func (h *history) isUpdateDelayed(broker string, at time.Time) bool {
	overlaps := func(s span) bool {
		return s.overlaps(at.Add(-updateTolerance), at.Add(updateTolerance), updateTolerance)
	}
	duringOutage := func(s span) bool {
		return !at.Before(s.from.Add(-updateTolerance)) && at.Before(s.to)
	}
	return slices.ContainsFunc(h.changelogFaults, overlaps) || slices.ContainsFunc(h.outages, duringOutage) ||
		slices.ContainsFunc(h.brokerStops[broker], overlaps) || slices.ContainsFunc(h.brokerKills[broker], overlaps)
}
