package control

import (
	"time"

	"wheatlane/control/outlier"
)

// Action is an operation that the host performs for the Controller. The types below implement it.
type Action interface{ action() }

type (
	// SendAttempt starts the next attempt of a request.
	SendAttempt struct {
		RequestID    string
		Engine       string
		Timeout      time.Duration // 0: the client's deadline
		OverdueAfter time.Duration // time until the response is likelier lost than late; 0: unknown
	}
	// Reject ends a request with a final response that allows the client to retry.
	Reject struct {
		RequestID  string
		RetryAfter time.Duration // delay before the client may retry; 0: not set
	}
	// Fail ends a request with a final response that does not suggest a retry. The request may or may not
	// have run.
	Fail struct{ RequestID string }
	// CancelAttempt cancels an attempt in flight. The host reports its end with AttemptEnded as usual.
	CancelAttempt struct {
		RequestID string
		Number    int
	}
	// SetAttemptOptions sets the memory grant and the priority of a request's next attempts.
	SetAttemptOptions struct {
		RequestID string
		GrantMB   float64 // memory grant; 0: the engine's default
		Priority  int     // lowest: 1
	}
	// SetTimer requests a TimerFired event with the token.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// ProbeLoad sends a load probe to an engine. The host reports its outcome with ProbeResult.
	ProbeLoad struct{ Engine string }
	// SendGossip sends load reports to another broker, which does not reply.
	SendGossip struct {
		Broker  int
		Reports []GossipedLoad
	}
	// WatchEndpoints starts a watch of the endpoint list, which lasts until EndpointWatchFailed. Only the
	// simulator's host performs it: the broker polls the change log independently of this action.
	WatchEndpoints struct{}
	// EngineEjected notifies the operators that outlier detection ejected an engine.
	EngineEjected struct {
		Engine string
		Reason outlier.Reason
	}
	// EngineRestored notifies the operators that an ejected engine succeeds again and is back in service.
	EngineRestored struct{ Engine string }
)

func (SendAttempt) action()       {}
func (Reject) action()            {}
func (Fail) action()              {}
func (CancelAttempt) action()     {}
func (SetAttemptOptions) action() {}
func (SetTimer) action()          {}
func (ProbeLoad) action()         {}
func (SendGossip) action()        {}
func (WatchEndpoints) action()    {}
func (EngineEjected) action()     {}
func (EngineRestored) action()    {}
