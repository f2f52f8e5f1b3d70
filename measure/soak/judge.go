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
		r := records[id]
		v.attempts += len(r.attempts)
		if r.sent == nil {
			if r.ended == nil {
				v.find("attempt of %s, which no client sent", id)
			}
			continue
		}
		v.requests++
		h.judgeOutcome(&v, r)
		h.judgeRepeats(&v, r)
		for _, a := range r.attempts {
			h.judgeAttempt(&v, r, a)
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
		e := &h.events[i]
		switch e.Kind {
		case RequestSent:
			of(e.Request).sent = e
		case RequestEnded:
			r := of(e.Request)
			if r.ended == nil || e.Outcome == SecondCame {
				r.ended = e
			}
		case AttemptReceived:
			r := of(e.Request)
			r.attempts = append(r.attempts, e)
		case AttemptEnded, EngineListening:
		}
	}
	for _, r := range records {
		slices.SortFunc(r.attempts, func(a, b *Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	}
	return records
}

// judgeOutcome checks that a request got its one answer in time.
func (h *history) judgeOutcome(v *verdict, r *requestRecord) {
	if r.ended == nil {
		v.outcomes["open"]++
		return // the run ended first
	}
	v.outcomes[r.ended.Outcome]++
	switch r.ended.Outcome {
	case Served, Rejected, Failed, Left, NotSent:
		return
	case WrongRows, SecondCame:
	case NoAnswer, Closed:
		if h.answerNotOwed(r) {
			v.exempt++
			return
		}
	}
	v.find("%s of %s at %s: %s after %v (%s)", r.sent.Request, r.sent.Class, r.sent.Broker, r.ended.Outcome,
		r.ended.At.Sub(r.sent.At).Round(time.Millisecond), r.ended.Detail)
}

// answerNotOwed reports whether the broker of a request was killed while it was open, had been asked to end
// before it came, or stood still as its time ended.
func (h *history) answerNotOwed(r *requestRecord) bool {
	broker := r.sent.Broker
	for _, kill := range h.brokerKills[broker] {
		if kill.touches(r.sent.At, r.ended.At, clockSlack) {
			return true
		}
	}
	for _, s := range h.brokerBreaks[broker] {
		if r.ended.Outcome == Closed && s.touches(r.ended.At, r.ended.At, 0) {
			return true
		}
	}
	for _, at := range h.brokerTerms[broker] {
		if sinceTerm := r.sent.At.Sub(at); sinceTerm > requestsAfterTerm && sinceTerm < killAfterTerm+settleTime {
			return true
		}
	}
	due := r.sent.At.Add(r.sent.Timeout)
	return r.ended.Outcome == NoAnswer && slices.ContainsFunc(h.brokerStops[broker], func(s span) bool {
		return s.touches(due.Add(-settleTime), due.Add(lateAnswerWindow), 0)
	})
}

// judgeRepeats checks that what may run once ran once at most.
func (h *history) judgeRepeats(v *verdict, r *requestRecord) {
	if r.sent.Class == "report" && len(r.attempts) > 1 {
		v.find("%s of %s, which may run once: %d attempts", r.sent.Request, r.sent.Class, len(r.attempts))
	}
}

// judgeAttempt checks one attempt. Engines that were stopped, and bytes that were held, show attempts later than
// they left the broker: the times of these are not judged.
func (h *history) judgeAttempt(v *verdict, r *requestRecord, a *Event) {
	delayed := slices.ContainsFunc(h.engineDelays[a.Engine], func(s span) bool {
		return s.touches(a.At, a.At, settleTime)
	})
	if delayed {
		return
	}
	if r.ended != nil && r.ended.Outcome == Left {
		if late := a.At.Sub(r.ended.At); late > maxStartAfterEnd+clockSlack {
			v.find("%s of %s at %s began %v after its client had left (%s)", r.sent.Request, r.sent.Class,
				a.Engine, late.Round(time.Millisecond), r.ended.Detail)
		}
	}
	left := r.sent.At.Add(r.sent.Timeout).Sub(a.At)
	if over := a.Timeout - left; over > timeoutSlack+clockSlack {
		v.find("%s of %s at %s: timeout of %v with %v left to the client", r.sent.Request, r.sent.Class, a.Engine,
			a.Timeout, left.Round(time.Millisecond))
	}
	h.judgeAvailability(v, r, a)
}

// judgeAvailability checks that the engine of an attempt took any.
func (h *history) judgeAvailability(v *verdict, r *requestRecord, a *Event) {
	for _, s := range h.drains[a.Engine] {
		bound := drainGrace + clockSlack
		if h.updateMayBeLate(r.sent.Broker, s.from) {
			bound += updateBound
		}
		if late := a.At.Sub(s.from); late > bound && a.At.Before(s.to) {
			v.find("%s at %s %v after its drain was published", r.sent.Request, a.Engine, late.Round(time.Millisecond))
		}
	}
	for _, s := range h.maintenance[a.Engine] {
		if late := a.At.Sub(s.from); late > maintenanceBound+clockSlack && a.At.Before(s.to) {
			v.find("%s at %s %v after its maintenance began", r.sent.Request, a.Engine, late.Round(time.Millisecond))
		}
	}
}

// updateMayBeLate reports whether something kept a broker from hearing of a change of the list at once.
func (h *history) updateMayBeLate(broker string, at time.Time) bool {
	touches := func(s span) bool { return s.touches(at.Add(-time.Second), at.Add(time.Second), time.Second) }
	return slices.ContainsFunc(h.changelogFaults, touches) ||
		slices.ContainsFunc(h.brokerStops[broker], touches) || slices.ContainsFunc(h.brokerKills[broker], touches)
}
