package broker

import (
	"time"

	"wheatlane/control"
)

// EndCause is the cause of a request's end.
type EndCause int

// The causes of a request's end.
const (
	EndServed           EndCause = iota // a complete result was sent
	EndModuleRejected                   // the decision module rejected the request
	EndModuleFailed                     // the decision module failed the request, which may have run
	EndFinalAnswer                      // the broker shut down before the request was completed
	EndKilled                           // a client killed the request
	EndClientClosed                     // the client's connection ended
	EndClientHalfClosed                 // the client shut down its write side
	EndQueueOverflow                    // the client sent too many commands before the answer
	EndQueuedRequestDue                 // the deadline of a request queued behind it was reached
	endCauseCount
)

// EndCauseNames holds the name of each cause in logs and metrics, indexed by EndCause.
var EndCauseNames = [endCauseCount]string{
	EndServed:           "served",
	EndModuleRejected:   "module_rejected",
	EndModuleFailed:     "module_failed",
	EndFinalAnswer:      "final_answer",
	EndKilled:           "killed",
	EndClientClosed:     "client_closed",
	EndClientHalfClosed: "client_half_closed",
	EndQueueOverflow:    "queue_overflow",
	EndQueuedRequestDue: "queued_request_due",
}

// String returns the name of the cause.
func (c EndCause) String() string { return EndCauseNames[c] }

// Transition is a state change of a request or of one of its attempts.
type Transition struct {
	State     TransitionState
	Request   uint64 // number assigned by the broker
	RequestID string // assigned by the client
	Session   Session
	Class     string
	Since     time.Duration // time since the request was accepted

	Cause   EndCause       // set with RequestEndedState
	Attempt int            // attempt number, set with AttemptStartedState and AttemptEndedState
	Engine  string         // set with AttemptStartedState and AttemptEndedState
	Status  control.Status // set with AttemptEndedState
}

// TransitionState is the state after a transition.
type TransitionState string

// The states after a transition.
const (
	RequestAcceptedState TransitionState = "request accepted"
	RequestEndedState    TransitionState = "request ended"
	AttemptStartedState  TransitionState = "attempt started"
	AttemptEndedState    TransitionState = "attempt ended"
)

// Tracer is notified of each transition, on the goroutine that owns the reducer. It must not call the broker.
type Tracer func(Transition)

// SetTracer sets the tracer, which is notified of all later transitions; nil disables tracing.
func (b *Broker) SetTracer(t Tracer) { b.tracer = t }

// trace notifies the tracer of a transition of a request.
func (b *Broker) trace(now time.Duration, request *request, transition Transition) {
	if b.tracer == nil {
		return
	}
	transition.Request, transition.RequestID = request.id, request.RequestID
	transition.Session, transition.Class = request.session, request.Class
	transition.Since = now - request.acceptedAt
	b.tracer(transition)
}
