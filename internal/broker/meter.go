package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/invariant"
)

// Meter is notified of the progress of requests and attempts, on the goroutine that owns the reducer. It must not call
// the broker, and must copy strings that it retains: they may be substrings of a large statement.
type Meter interface {
	// RequestAccepted is called when a request was accepted.
	RequestAccepted(request *Request)
	// RequestRejected is called for each reply other than ReplyResult, ReplyOK and ReplyFailed: a command got an error,
	// or a request was rejected before or after it was accepted.
	RequestRejected(kind ReplyKind)
	// AttemptStarted is called when an attempt is started for a request of the given class.
	AttemptStarted(class string)
	// RequestEnded is called when an accepted request was answered or abandoned.
	RequestEnded(request RequestSummary)
	// AttemptEnded is called when an attempt has ended.
	AttemptEnded(attempt AttemptSummary)
	// RequestEndCause is called with the cause of each RequestEnded.
	RequestEndCause(cause EndCause)
	// InvariantViolated is called when a rule was violated or a violation was prevented.
	InvariantViolated(rule invariant.Rule)
}

// RequestSummary describes a request that has ended.
type RequestSummary struct {
	Class, Tenant string
	Kind          ReplyKind     // ReplyResult, ReplyRejected or ReplyFailed; ReplyInterrupted if Abandoned
	Abandoned     bool          // its client disconnected or killed it
	Duration      time.Duration // from the time at which the client sent it
	Objective     time.Duration // latency objective of the request; 0: none
	QueueTime     time.Duration // from acceptance to the first attempt, or to the end if there was none
	Attempts      int           // number of attempts
}

// AttemptSummary describes an attempt that has ended.
type AttemptSummary struct {
	Class, Engine string
	Status        control.Status
	Duration      time.Duration // from the start of the attempt
	Wasted        bool          // it may have run, but its result was not sent to a client
}

// NopMeter is a Meter that does nothing.
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

// RequestEndCause does nothing.
func (NopMeter) RequestEndCause(EndCause) {}

// InvariantViolated does nothing.
func (NopMeter) InvariantViolated(invariant.Rule) {}

// SetMeter sets the meter, which is notified of all later events.
func (b *Broker) SetMeter(meter Meter) { b.meter = meter }

// reportAnswered notifies the meter and the tracer that a request was answered.
func (b *Broker) reportAnswered(now time.Duration, request *request, kind ReplyKind, cause EndCause) {
	summary := b.summarize(now, request)
	summary.Kind = kind
	b.reportEnd(now, request, summary, cause)
}

// reportAbandoned notifies the meter and the tracer that a request was abandoned.
func (b *Broker) reportAbandoned(now time.Duration, request *request, cause EndCause) {
	summary := b.summarize(now, request)
	summary.Kind, summary.Abandoned = ReplyInterrupted, true
	b.reportEnd(now, request, summary, cause)
}

func (b *Broker) reportEnd(now time.Duration, request *request, summary RequestSummary, cause EndCause) {
	b.meter.RequestEnded(summary)
	b.meter.RequestEndCause(cause)
	b.trace(now, request, Transition{State: RequestEndedState, Cause: cause})
}

// summarize returns the summary of a request, without Kind and Abandoned.
func (b *Broker) summarize(now time.Duration, request *request) RequestSummary {
	class := b.validator.classes[request.Class]
	summary := RequestSummary{
		Class:     request.Class,
		Tenant:    request.Tenant,
		Duration:  now - request.SentAt,
		Objective: class.LatencyObjective,
		QueueTime: now - request.acceptedAt,
		Attempts:  len(request.attempts),
	}
	if class.LatencyObjective > 0 {
		// The same formula as in the decision module, but with the client's estimate of the work.
		work := float64(request.EstimatedWork) / float64(max(1, class.Threads))
		summary.Objective += time.Duration(class.ObjectivePerWork * work)
	}
	if len(request.attempts) > 0 {
		summary.QueueTime = request.attempts[0].startedAt - request.acceptedAt
	}
	return summary
}
