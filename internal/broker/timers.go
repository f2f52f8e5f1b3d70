package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/timerqueue"
)

// eventTimer is a timer that was set.
type eventTimer = timerqueue.Timer[timerEvent]

// timerEvent is an event handled when a timer expires. All timer events are declared in this file.
type timerEvent interface {
	expire(b *Broker, now time.Duration)
}

type (
	// moduleTimer is a timer of the decision module.
	moduleTimer struct{ token uint64 }
	// attemptTimedOut is the timeout of an attempt.
	attemptTimedOut struct{ attempt *attempt }
	// attemptSettled ends an attempt after settleDelay (see mustSettle).
	attemptSettled struct {
		attempt *attempt
		end     control.AttemptEnded
	}
	// pageTimedOut is the timeout of the next page of a result; missing is the number of missing pages when it was set.
	pageTimedOut struct {
		attempt *attempt
		missing int
	}
	// probeTimedOut is the timeout of a load probe.
	probeTimedOut struct{ probeID uint64 }
	// queuedRequestDue is the deadline of a request queued behind the open request of its session.
	queuedRequestDue struct {
		session   *session
		requestID string
	}
	// shutdownTimedOut is the end of the grace period of a shutdown, when open requests get their final answers.
	shutdownTimedOut struct{}
)

func (t moduleTimer) expire(b *Broker, _ time.Duration) {
	b.batch.add(control.TimerFired{Token: t.token})
}

func (t attemptTimedOut) expire(b *Broker, _ time.Duration) {
	b.cancelAttempt(t.attempt, control.TimedOut)
}
func (t attemptSettled) expire(b *Broker, now time.Duration) { b.endAttempt(now, t.attempt, t.end) }
func (t pageTimedOut) expire(b *Broker, now time.Duration) {
	b.checkPageTimeout(now, t.attempt, t.missing)
}

func (t probeTimedOut) expire(b *Broker, now time.Duration) {
	b.probeEnded(now, ProbeResult{ProbeID: t.probeID, Status: control.TimedOut})
}

func (t queuedRequestDue) expire(b *Broker, now time.Duration) {
	b.handleQueuedDeadline(now, t.session, t.requestID)
}

func (shutdownTimedOut) expire(b *Broker, now time.Duration) { b.sendFinalAnswers(now) }

// minTimersToCompact is the number of timers below which those of ended requests are kept until they expire.
const minTimersToCompact = 4096

// compactTimers removes the timers of ended requests once there are many. Clients choose their timeouts, so the timers
// of requests that ended long ago could otherwise take any amount of memory.
func (b *Broker) compactTimers() {
	if b.timers.Len() < b.maxTimers {
		return
	}
	b.timers.Compact(func(event timerEvent) bool {
		timer, ok := event.(moduleTimer)
		return ok && !b.module.TimerPending(timer.token)
	})
	b.maxTimers = max(minTimersToCompact, 2*b.timers.Len())
}
