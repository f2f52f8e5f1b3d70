package broker

import (
	"time"

	"wheatlane/control"
)

// Meter is told what becomes of requests and attempts as it happens, on the goroutine that owns the reducer. It must
// not call back, and keeps no text that it is given, as that may be cut from a whole statement.
type Meter interface {
	// RequestAccepted says that a request was taken.
	RequestAccepted(r *Request)
	// RequestRejected says that something was answered without being taken, or refused.
	RequestRejected(kind ReplyKind)
	// AttemptStarted says that an attempt goes to an engine.
	AttemptStarted(class string)
	// RequestEnded says that a request is over.
	RequestEnded(o RequestSummary)
	// AttemptEnded says that an attempt is over.
	AttemptEnded(o AttemptSummary)
}

// RequestSummary is how a request ended.
type RequestSummary struct {
	Class, Tenant string
	Kind          ReplyKind // Result, Refused or Failed
	ClientLeft    bool      // its client stopped waiting; Kind says nothing then
	Duration      time.Duration
	Objective     time.Duration // the time within which its class wants it, 0 if it says none
	QueueTime     time.Duration // from when it was taken to its first attempt, or to its end without one
	Attempts      int
}

// AttemptSummary is how an attempt ended.
type AttemptSummary struct {
	Class, Engine string
	Status        control.Status
	Duration      time.Duration // from its send
	Wasted        bool          // it may have run, and no client got its answer
}

// NopMeter is the meter of a broker that nobody watches.
type NopMeter struct{}

// RequestAccepted does nothing.
func (NopMeter) RequestAccepted(*Request) {}

// RequestRejected does nothing.
func (NopMeter) RequestRejected(ReplyKind) {}

// AttemptStarted does nothing.
func (NopMeter) AttemptStarted(string) {}

// RequestEnded does nothing.
func (NopMeter) RequestEnded(RequestSummary) {}

// AttemptEnded does nothing.
func (NopMeter) AttemptEnded(AttemptSummary) {}

// SetMeter sets who is told of what happens from now on.
func (b *Broker) SetMeter(m Meter) { b.meter = m }

// View fills v with what the decision module believes and sets.
func (b *Broker) View(v *control.View) { b.module.View(v) }

// SessionCount is the number of clients that are connected.
func (b *Broker) SessionCount() int { return len(b.sessions.byID) }

// reportRequestEnd tells the meter of a request's end.
func (b *Broker) reportRequestEnd(now time.Duration, r *request, kind ReplyKind, gone bool) {
	k := b.classes[r.Class]
	o := RequestSummary{Class: r.Class, Tenant: r.Tenant, Kind: kind, ClientLeft: gone, Duration: now - r.SentAt, Objective: k.LatencyObjective,
		QueueTime: now - r.acceptedAt, Attempts: len(r.attempts)}
	if k.LatencyObjective > 0 { // as the module has it, but by the client's own estimate of the work
		o.Objective += time.Duration(k.ObjectivePerWork * float64(r.EstimatedWork) / float64(max(1, k.Threads)))
	}
	if len(r.attempts) > 0 {
		o.QueueTime = r.attempts[0].startedAt - r.acceptedAt
	}
	b.meter.RequestEnded(o)
}
