package control

import (
	"time"

	"wheatlane/control/outlier"
)

// Action is one thing that the host is to do; see the types below.
type Action interface{ action() }

type (
	// SendAttempt starts the next attempt of a request.
	SendAttempt struct {
		RequestID    string
		Engine       string
		Timeout      time.Duration // 0: the client's deadline
		OverdueAfter time.Duration // after it the answer is likelier lost than late; 0: not known
	}
	// Reject is a final answer that invites the client to try again.
	Reject struct {
		RequestID  string
		RetryAfter time.Duration // time after which the client may retry; 0: not set
	}
	// Fail is a final answer that does not invite a retry and leaves open whether the request ran.
	Fail struct{ RequestID string }
	// CancelAttempt cancels an attempt in flight; its end is reported like any other.
	CancelAttempt struct {
		RequestID string
		Number    int
	}
	// SetAttemptOptions sets memory and priority for the next attempts of a request.
	SetAttemptOptions struct {
		RequestID string
		GrantMB   float64 // 0: the engine's own choice
		Priority  int     // 1 is the least
	}
	// SetTimer asks for a TimerFired with the token.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// ProbeLoad asks an engine for its load.
	ProbeLoad struct{ Engine string }
	// SendGossip sends another broker load reports; no answer is expected.
	SendGossip struct {
		Broker  int
		Reports []GossipedLoad
	}
	// WatchEndpoints asks for the changes of the endpoint list, until EndpointWatchFailed. Only the
	// simulator's host heeds it: the broker polls the change log without being asked.
	WatchEndpoints struct{}
	// EngineEjected reports to the operators that outlier detection ejected an engine.
	EngineEjected struct {
		Engine string
		Reason outlier.Reason
	}
	// EngineRestored reports to the operators that an ejected engine succeeds again.
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
