package server

import (
	"context"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/clock"
)

const (
	// inboxCapacity is how many functions may wait for the loop. Readers wait while it is full.
	inboxCapacity = 256
	// maxInboxBatch is how many functions the loop takes from the inbox ahead of a round.
	maxInboxBatch = 512
)

// eventLoop owns the reducer: it gives it events and has its effects carried out. All methods but post are called on
// one goroutine, the loop.
type eventLoop struct {
	inbox        chan func() // functions to call in the loop
	reducer      *broker.Broker
	execute      func(broker.Effect)
	meter        Meter
	log          *zap.Logger
	queuedEvents []broker.Event // that effects gave
	usage        *usageLog
}

// post hands f to the loop and reports whether it was taken. It waits while the inbox is full, or until ctx
// ends. Any goroutine may call it.
func (l *eventLoop) post(ctx context.Context, f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// runInbox calls the first function of a batch and those behind it.
func (l *eventLoop) runInbox(first func()) {
	l.meter.InboxLength(len(l.inbox) + 1)
	first()
	for range min(len(l.inbox), maxInboxBatch) {
		f := <-l.inbox
		f()
	}
}

// apply gives the reducer an event and carries out the effects, and what follows from them.
func (l *eventLoop) apply(event broker.Event) {
	if _, ok := event.(broker.SubmitRequest); ok {
		l.usage.Requests++
	}
	l.executeAll(l.reducer.Apply(clock.Now(), event))
	l.applyQueued()
}

// tick lets time pass in the reducer.
func (l *eventLoop) tick() {
	l.executeAll(l.reducer.Tick(clock.Now()))
	l.applyQueued()
}

// enqueue keeps an event that carrying out an effect gave until the other effects are carried out.
func (l *eventLoop) enqueue(event broker.Event) { l.queuedEvents = append(l.queuedEvents, event) }

// applyQueued applies the pending events.
func (l *eventLoop) applyQueued() {
	for len(l.queuedEvents) > 0 {
		event := l.queuedEvents[0]
		l.queuedEvents = l.queuedEvents[1:]
		l.executeAll(l.reducer.Apply(clock.Now(), event))
	}
}

// executeAll carries out effects in their order.
func (l *eventLoop) executeAll(effects []broker.Effect) {
	for _, effect := range effects {
		l.execute(effect)
	}
}

// reportViolation counts and logs that a rule would have been, or was, broken.
func (l *eventLoop) reportViolation(rule invariant.Rule, fields ...zap.Field) {
	l.meter.InvariantViolated(rule)
	logViolation(l.log, rule, fields...)
}
