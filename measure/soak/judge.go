package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The bounds that the judge applies.
const (
	clockSlack       = 50 * time.Millisecond // what processes and sockets add to each time
	maxStartAfterEnd = 100 * time.Millisecond
	timeoutSlack     = 150 * time.Millisecond
	drainGrace       = 500 * time.Millisecond
	updateBound      = 7 * time.Second // what the change log has counts as known by then, whatever happens
	updateMargin     = time.Second     // around a fault, in which an update may be late
	maintenanceBound = time.Second     // from the call to the last send
	// A request counts for a broker that ends until so long after SIGTERM.
	requestsAfterTerm = 200 * time.Millisecond
	// settleTime is how long a stop or hold shows after its end: what waited is read and acted on.
	settleTime = 400 * time.Millisecond
)

// span is a time in which something held.
type span struct{ from, to time.Time }

// touches reports whether the span, with a margin behind it, has a time in common with another one.
func (s span) touches(from, to time.Time, margin time.Duration) bool {
	return !s.from.After(to) && !s.to.Add(margin).Before(from)
}

// history is what happened in a run, as its processes reported it and as the run caused it.
type history struct {
	events []Event

	brokerKills     map[string][]span      // by broker: no answer is owed for what was open then
	brokerTerms     map[string][]time.Time // by broker
	brokerStops     map[string][]span      // by broker: SIGSTOP
	brokerBreaks    map[string][]span      // by broker: connections broke under it
	engineDelays    map[string][]span      // by engine: it was stopped, or its bytes were held
	changelogFaults []span
	drains          map[string][]span // by engine
	maintenance     map[string][]span // by engine: from when every broker had acknowledged it
}

func newHistory() *history {
	return &history{
		brokerKills: map[string][]span{}, brokerTerms: map[string][]time.Time{}, brokerStops: map[string][]span{},
		brokerBreaks: map[string][]span{},
		engineDelays: map[string][]span{}, drains: map[string][]span{}, maintenance: map[string][]span{},
	}
}

// requestRecord is what is known of a request.
type requestRecord struct {
	sent, ended *Event
	attempts    []*Event
}

// verdict is what a judge found.
type verdict struct {
	requests, attempts int
	outcomes           map[Outcome]int
	exempt             int // requests that are owed no answer, as their broker was killed or had ended
	findings           []string
}

func (v *verdict) find(format string, args ...any) {
	v.findings = append(v.findings, fmt.Sprintf(format, args...))
}

// judge checks a history against the rules.
func (h *history) judge() verdict {
	v := verdict{outcomes: map[Outcome]int{}}
	records := h.records()
	for _, id := range slices.Sorted(maps.Keys(records)) {
		record := records[id]
		v.attempts += len(record.attempts)
		if record.sent == nil {
			if record.ended == nil {
				v.find("attempt of %s, which no client sent", id)
			}
			continue
		}
		v.requests++
		h.judgeOutcome(&v, record)
		h.judgeRepeats(&v, record)
		for _, attempt := range record.attempts {
			h.judgeAttempt(&v, record, attempt)
		}
	}
	return v
}

// records gathers events by request.
func (h *history) records() map[string]*requestRecord {
	records := map[string]*requestRecord{}
	of := func(id string) *requestRecord {
		if records[id] == nil {
			records[id] = &requestRecord{}
		}
		return records[id]
	}
	for i := range h.events {
		event := &h.events[i]
		switch event.Kind {
		case RequestSent:
			of(event.Request).sent = event
		case RequestEnded:
			record := of(event.Request)
			if record.ended == nil || event.Outcome == DuplicateAnswer {
				record.ended = event
			}
		case AttemptReceived:
			record := of(event.Request)
			record.attempts = append(record.attempts, event)
		case AttemptEnded, EngineListening:
		}
	}
	for _, record := range records {
		slices.SortFunc(record.attempts, func(a, b *Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	}
	return records
}

// judgeOutcome checks that a request got its one answer in time.
func (h *history) judgeOutcome(v *verdict, record *requestRecord) {
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
		if h.answerNotOwed(record) {
			v.exempt++
			return
		}
	}
	v.find("%s of %s at %s: %s after %v (%s)",
		record.sent.Request, record.sent.Class, record.sent.Broker, record.ended.Outcome,
		record.ended.At.Sub(record.sent.At).Round(time.Millisecond), record.ended.Detail)
}

// answerNotOwed reports whether the broker of a request was killed while it was open, had been asked to end
// before it came, or stood still as its time ended.
func (h *history) answerNotOwed(record *requestRecord) bool {
	broker := record.sent.Broker
	for _, kill := range h.brokerKills[broker] {
		if kill.touches(record.sent.At, record.ended.At, clockSlack) {
			return true
		}
	}
	for _, s := range h.brokerBreaks[broker] {
		if record.ended.Outcome == ConnectionClosed && s.touches(record.ended.At, record.ended.At, 0) {
			return true
		}
	}
	for _, at := range h.brokerTerms[broker] {
		if sinceTerm := record.sent.At.Sub(at); sinceTerm > requestsAfterTerm && sinceTerm < killAfterTerm+settleTime {
			return true
		}
	}
	due := record.sent.At.Add(record.sent.Timeout)
	return record.ended.Outcome == NoAnswer && slices.ContainsFunc(h.brokerStops[broker], func(s span) bool {
		return s.touches(due.Add(-settleTime), due.Add(lateAnswerWindow), 0)
	})
}

// judgeRepeats checks that what may run once ran once at most.
func (h *history) judgeRepeats(v *verdict, record *requestRecord) {
	if record.sent.Class == "report" && len(record.attempts) > 1 {
		v.find("%s of %s, which may run once: %d attempts", record.sent.Request, record.sent.Class, len(record.attempts))
	}
}

// judgeAttempt checks one attempt. Engines that were stopped, and bytes that were held, show attempts later than
// they left the broker: the times of these are not judged.
func (h *history) judgeAttempt(v *verdict, record *requestRecord, attempt *Event) {
	delayed := slices.ContainsFunc(h.engineDelays[attempt.Engine], func(s span) bool {
		return s.touches(attempt.At, attempt.At, settleTime)
	})
	if delayed {
		return
	}
	if record.ended != nil && record.ended.Outcome == ClientDisconnected {
		if late := attempt.At.Sub(record.ended.At); late > maxStartAfterEnd+clockSlack {
			v.find("%s of %s at %s began %v after its client had left (%s)", record.sent.Request, record.sent.Class,
				attempt.Engine, late.Round(time.Millisecond), record.ended.Detail)
		}
	}
	left := record.sent.At.Add(record.sent.Timeout).Sub(attempt.At)
	if over := attempt.Timeout - left; over > timeoutSlack+clockSlack {
		v.find("%s of %s at %s: timeout of %v with %v left to the client",
			record.sent.Request, record.sent.Class, attempt.Engine, attempt.Timeout, left.Round(time.Millisecond))
	}
	h.judgeAvailability(v, record, attempt)
}

// judgeAvailability checks that the engine of an attempt took any.
func (h *history) judgeAvailability(v *verdict, record *requestRecord, attempt *Event) {
	for _, s := range h.drains[attempt.Engine] {
		bound := drainGrace + clockSlack
		if h.updateMayBeLate(record.sent.Broker, s.from) {
			bound += updateBound
		}
		if late := attempt.At.Sub(s.from); late > bound && attempt.At.Before(s.to) {
			v.find("%s at %s %v after its drain was published",
				record.sent.Request, attempt.Engine, late.Round(time.Millisecond))
		}
	}
	for _, s := range h.maintenance[attempt.Engine] {
		if late := attempt.At.Sub(s.from); late > maintenanceBound+clockSlack && attempt.At.Before(s.to) {
			v.find("%s at %s %v after its maintenance began",
				record.sent.Request, attempt.Engine, late.Round(time.Millisecond))
		}
	}
}

// updateMayBeLate reports whether something kept a broker from receiving a change of the list at once.
func (h *history) updateMayBeLate(broker string, at time.Time) bool {
	touches := func(s span) bool { return s.touches(at.Add(-updateMargin), at.Add(updateMargin), updateMargin) }
	return slices.ContainsFunc(h.changelogFaults, touches) ||
		slices.ContainsFunc(h.brokerStops[broker], touches) || slices.ContainsFunc(h.brokerKills[broker], touches)
}
