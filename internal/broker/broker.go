// Package broker implements the functional core of a broker: a reducer that holds all of its state. Apply handles one
// event, Tick runs a batch of the decision module (package control), and both return the effects to perform. The
// package performs no I/O, reads no clock and starts no goroutine, so the same events at the same times produce the
// same effects. Times are durations since the Unix epoch by a monotonic clock that ignores steps of the wall clock,
// such as that of package internal/server/clock.
//
// Events and effects do not depend on a protocol: a front protocol translates its messages into SubmitRequest, Ping and
// Kill, and each Reply into a message of its own, so that a second front protocol could use the same decisions.
package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/clientdeadline"
	"wheatlane/internal/broker/endpointlist"
	"wheatlane/internal/broker/timerqueue"
	"wheatlane/internal/fifo"
	"wheatlane/internal/invariant"
	"wheatlane/internal/overload"
)

// Broker is the reducer. It is not safe for concurrent use.
type Broker struct {
	module    *control.Controller // decides when and where attempts go
	batch     moduleBatch         // events for the next call of the module
	timers    timerqueue.Queue[timerEvent]
	maxTimers int      // number of timers at which obsolete ones are removed
	effects   []Effect // of the current call
	meter     Meter
	tracer    Tracer // nil: none

	sessions         sessionTable
	answeredSessions fifo.Queue[Session] // answered in the current call; their queued commands are executed at its end
	requests         requestTable
	requestIDs       RequestIDs
	peers            PeerProcesses
	input            SessionInput
	deadlines        *clientdeadline.Estimator
	endpoints        *endpointlist.List
	probes           map[uint64]loadProbe
	memory           heldMemory
	validator        *requestValidator
	shutdown         shutdownState
	overload         overload.Level

	lastNow time.Duration // time of the last call
	hedging bool          // two attempts of a request may be in flight at a time
	view    control.View  // reused by UnavailableEngines
}

// New returns a broker with an empty endpoint list that allows maxSessions concurrent sessions. It returns the error of
// the decision module if the settings are invalid. The seed determines all random choices.
func New(settings control.Settings, seed uint64, maxSessions int) (*Broker, error) {
	module, err := control.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Broker{
		module:     module,
		batch:      moduleBatch{minInterval: settings.MinBatchInterval},
		meter:      NopMeter{},
		sessions:   newSessionTable(maxSessions),
		requests:   newRequestTable(),
		requestIDs: noRequestIDs{},
		peers:      noPeerProcesses{},
		input:      noSessionInput{},
		deadlines:  clientdeadline.New(),
		endpoints:  endpointlist.New(),
		probes:     map[uint64]loadProbe{},
		memory:     newHeldMemory(unlimitedMemory),
		maxTimers:  minTimersToCompact,
		validator:  newRequestValidator(settings),
		hedging:    settings.Limits.Hedging,
	}, nil
}

// Apply handles one event and returns the effects to perform, in order.
func (b *Broker) Apply(now time.Duration, event Event) []Effect {
	b.checkTime(now)
	switch event := event.(type) {
	case command:
		b.handleCommand(now, event)
	case SessionOpened:
		b.openSession(now, event.Session)
	case SessionAuthenticated:
		b.authenticateSession(now, event.Session)
	case SessionClosed:
		delete(b.sessions.closedByBroker, event.Session)
		b.endSession(now, event.Session, EndClientClosed)
	case SessionHalfClosed:
		b.halfCloseSession(now, event.Session)
	case MessageTimedOut:
		b.closeUnlessBusy(now, event.Session)
	case MessageAbandoned:
		b.closeOnceAnswered(now, event.Session)
	case FirstPageReceived:
		b.firstPageReceived(now, event)
	case PageReceived:
		b.pageReceived(now, event)
	case AttemptEnded:
		b.attemptEnded(now, event)
	case ProbeResult:
		b.probeEnded(now, event)
	default:
		b.applyFleetEvent(now, event)
	}
	b.resumeAnsweredSessions(now)
	return b.flushEffects()
}

// applyFleetEvent handles events from the other process of this broker, from the fleet and from operators.
func (b *Broker) applyFleetEvent(now time.Duration, event Event) {
	switch event := event.(type) {
	case PeerKill:
		b.killSession(now, Kill(event))
	case KillAnswered:
		b.killAnswered(now, event)
	case GossipReceived:
		b.batch.add(control.GossipReceived{Broker: event.Broker, Reports: event.Reports})
	case EndpointChanges:
		b.applyChanges(now, event)
	case StartMaintenance:
		b.startMaintenance(event.Engine)
	case EndMaintenance:
		b.endMaintenance(event.Engine)
	case RestoreMaintenance:
		b.restoreMaintenance(event.Engines)
	case UpdateSettings:
		b.updateSettings(event.Settings)
	case LimitResources:
		b.limitResources(now, event)
	case OverloadChanged:
		b.applyOverload(event.Level)
	case EvictSessions:
		b.evictSessions(now, event.Count)
	case Shutdown:
		b.startShutdown(now, event.GracePeriod)
	case SendFinalAnswers:
		b.sendFinalAnswers(now)
	}
}

// Tick handles the timers that are due. If Settings.MinBatchInterval has passed since the last batch, it passes the
// events since then to the decision module. It returns the effects to perform, in order.
func (b *Broker) Tick(now time.Duration) []Effect {
	b.checkTime(now)
	for {
		timer, ok := b.timers.PopDue(now)
		if !ok {
			break
		}
		if event, ok := timer.Event(); ok {
			event.expire(b, now)
		}
	}
	b.compactTimers()
	if b.batch.due(now) {
		for _, action := range b.module.Handle(now, b.batch.flush(now)) {
			b.performAction(now, action)
		}
	}
	b.resumeAnsweredSessions(now)
	return b.flushEffects()
}

// reportViolation reports that a rule was violated, or that a violation was prevented.
func (b *Broker) reportViolation(rule invariant.Rule, session Session, requestID string) {
	b.meter.InvariantViolated(rule)
	b.emit(InvariantViolation{Rule: rule, Session: session, RequestID: requestID})
}

// checkTime reports a violation if now is earlier than the previous call's time.
func (b *Broker) checkTime(now time.Duration) {
	if now < b.lastNow {
		b.reportViolation(invariant.TimeIsMonotonic, 0, "")
	}
	b.lastNow = now
}

// NextDeadline returns the earliest time at which Tick has a timer or a batch to handle; ok is false if it has none.
func (b *Broker) NextDeadline() (at time.Duration, ok bool) {
	at, ok = b.batch.nextCallAt()
	if timerAt, set := b.timers.NextAt(); set && (!ok || timerAt < at) {
		return timerAt, true
	}
	return at, ok
}

// ListedEngines returns the number of engines in the endpoint list.
func (b *Broker) ListedEngines() int { return b.endpoints.Len() }

// Ready reports whether the broker can serve requests: it is not shutting down, and at least one engine is in service
// and not in maintenance mode.
func (b *Broker) Ready() bool { return !b.shutdown.started && b.endpoints.InServiceCount() > 0 }

func (b *Broker) emit(effect Effect) { b.effects = append(b.effects, effect) }

func (b *Broker) flushEffects() []Effect {
	effects := b.effects
	b.effects = nil
	return effects
}
