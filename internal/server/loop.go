package server

import (
	"context"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/fifo"
	"wheatlane/internal/invariant"
	"wheatlane/internal/server/clock"
)

const (
	// inboxCapacity is the number of functions that can be queued for the loop. Connection readers block while it is
	// full.
	inboxCapacity = 256
	// maxInboxBatch limits the functions that the loop runs from the inbox in one iteration.
	maxInboxBatch = 512
)

// eventLoop owns the reducer: it applies events to it and performs the effects that it returns. All methods but post
// must be called on the loop's goroutine.
type eventLoop struct {
	inbox        chan func() // functions to call in the loop
	reducer      *broker.Broker
	execute      func(broker.Effect)
	meter        Meter
	log          *zap.Logger
	queuedEvents fifo.Queue[broker.Event] // raised while effects are performed
	usage        *usageLog
	// afterEndpoints is called after a change of the endpoint list.
	afterEndpoints func()
}

// post queues f for the loop and reports whether it was queued. It blocks while the inbox is full and gives up once ctx
// is done. It is safe for concurrent use.
func (l *eventLoop) post(ctx context.Context, f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// runInbox runs first, which was received from the inbox, and the functions queued behind it.
func (l *eventLoop) runInbox(first func()) {
	l.meter.InboxLength(len(l.inbox) + 1)
	first()
	for range min(len(l.inbox), maxInboxBatch) {
		f := <-l.inbox
		f()
	}
}

// apply applies an event to the reducer, performs its effects and applies the events that they raise.
func (l *eventLoop) apply(event broker.Event) {
	if _, ok := event.(broker.SubmitRequest); ok {
		l.usage.Requests++
	}
	l.executeAll(l.reducer.Apply(clock.Now(), event))
	if _, ok := event.(broker.EndpointChanges); ok {
		l.afterEndpoints()
	}
	l.applyQueued()
}

// tick advances the reducer's time and performs the effects that are due.
func (l *eventLoop) tick() {
	l.executeAll(l.reducer.Tick(clock.Now()))
	l.applyQueued()
}

// enqueue queues an event raised by an effect until the remaining effects are performed.
func (l *eventLoop) enqueue(event broker.Event) { l.queuedEvents.Push(event) }

// applyQueued applies the queued events in order, including those that their effects raise.
func (l *eventLoop) applyQueued() {
	for event, ok := l.queuedEvents.Pop(); ok; event, ok = l.queuedEvents.Pop() {
		l.executeAll(l.reducer.Apply(clock.Now(), event))
	}
}

// executeAll performs effects in order.
func (l *eventLoop) executeAll(effects []broker.Effect) {
	for _, effect := range effects {
		l.execute(effect)
	}
}

// reportViolation counts and logs a violation of an invariant, including one that was prevented.
func (l *eventLoop) reportViolation(rule invariant.Rule, fields ...zap.Field) {
	l.meter.InvariantViolated(rule)
	logViolation(l.log, rule, fields...)
}
