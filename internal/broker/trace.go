package broker

import (
	"time"

	"wheatlane/control"
)

// EndCause is why a request ended.
type EndCause int

// The causes.
const (
	EndServed           EndCause = iota // a complete result was sent
	EndModuleRejected                   // the decision module rejected it
	EndModuleFailed                     // the decision module failed it: it may have run
	EndFinalAnswer                      // the broker shut down before it was finished
	EndKilled                           // a client killed it
	EndClientClosed                     // its client's connection ended
	EndClientHalfClosed                 // its client closed its sending direction
	EndQueueOverflow                    // its client sent too many commands ahead of the answer
	EndQueuedRequestDue                 // the time of a request queued behind it was over
	endCauseCount
)

// EndCauseNames are the names of the causes in logs and figures, by their numbers.
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

// Transition is a change of the state of a request or of one of its attempts.
type Transition struct {
	State     TransitionState
	Request   uint64 // the broker's number of it
	RequestID string // the client's id for it
	Session   Session
	Class     string
	Since     time.Duration // since the request was accepted

	Cause   EndCause       // of RequestEnded
	Attempt int            // of AttemptStarted and AttemptEnded
	Engine  string         // of these
	Status  control.Status // of AttemptEnded
}

// TransitionState is the state that a transition leads to.
type TransitionState string

// The states.
const (
	RequestAcceptedState TransitionState = "request accepted"
	RequestEndedState    TransitionState = "request ended"
	AttemptStartedState  TransitionState = "attempt started"
	AttemptEndedState    TransitionState = "attempt ended"
)

// Tracer is notified of each transition, on the goroutine that owns the reducer. It must not call the broker.
type Tracer func(Transition)

// SetTracer sets the tracer that is notified from now on; nil for none.
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
