package broker

import (
	"cmp"
	"slices"
	"time"

	"wheatlane/control"
)

// moduleBatch collects the events for the next call of the decision module.
type moduleBatch struct {
	minInterval time.Duration // minimum time between two calls
	lastCallAt  time.Duration // of the last call
	events      []control.Event
}

func (m *moduleBatch) add(event control.Event) { m.events = append(m.events, event) }

// nextCallAt returns the time of the next call; ok is false if there are no events.
func (m *moduleBatch) nextCallAt() (at time.Duration, ok bool) {
	if len(m.events) == 0 {
		return 0, false
	}
	return m.lastCallAt + m.minInterval, true
}

func (m *moduleBatch) due(now time.Duration) bool {
	at, ok := m.nextCallAt()
	return ok && now >= at
}

// flush returns the events for a call at now and removes them from the batch. It sorts requests by the time they were
// sent: those of one order key must run in that order, whichever connections they were read from.
func (m *moduleBatch) flush(now time.Duration) []control.Event {
	events := m.events
	m.lastCallAt, m.events = now, nil
	sortRequestsBySentTime(events)
	return events
}

// requestWithSentTime is a request in a batch, with the time by which it is sorted.
type requestWithSentTime struct {
	control.RequestReceived
	sentAt time.Duration
}

// sortRequestsBySentTime sorts the requests among events by the time they were sent. The positions of other events do
// not change.
func sortRequestsBySentTime(events []control.Event) {
	var positions []int
	var requests []requestWithSentTime
	for i, event := range events {
		if r, ok := event.(requestWithSentTime); ok {
			positions, requests = append(positions, i), append(requests, r)
		}
	}
	slices.SortStableFunc(requests, func(a, b requestWithSentTime) int {
		return cmp.Compare(a.sentAt, b.sentAt)
	})
	for i, position := range positions {
		events[position] = requests[i].RequestReceived
	}
}

// performAction performs one action of the decision module.
func (b *Broker) performAction(now time.Duration, action control.Action) {
	switch action := action.(type) {
	case control.SendAttempt:
		b.startAttempt(now, action)
	case control.Reject:
		if request := b.requests.byModuleID(action.RequestID); request != nil {
			reply := Reply{Kind: ReplyRejected, Text: noCapacityText, RetryAfter: action.RetryAfter}
			b.answer(now, request, reply, EndModuleRejected)
		}
	case control.Fail:
		if request := b.requests.byModuleID(action.RequestID); request != nil {
			b.answer(now, request, Reply{Kind: ReplyFailed, Text: noAnswerText}, EndModuleFailed)
		}
	case control.CancelAttempt:
		if request := b.requests.byModuleID(action.RequestID); request != nil && action.Number < len(request.attempts) {
			b.cancelAttempt(request.attempts[action.Number], control.Cancelled)
		}
	case control.SetAttemptOptions:
		if request := b.requests.byModuleID(action.RequestID); request != nil {
			b.setAttemptOptions(request, action)
		}
	case control.SetTimer:
		b.timers.Set(now+action.After, moduleTimer{action.Token})
	case control.ProbeLoad:
		b.probeLoad(now, action.Engine)
	case control.SendGossip:
		b.emit(SendGossip{Broker: action.Broker, Reports: action.Reports})
	case control.EngineEjected:
		b.emit(EngineEjected(action))
	case control.EngineRestored:
		b.emit(EngineRestored(action))
	case control.WatchEndpoints: // changes arrive without a request
	}
}
