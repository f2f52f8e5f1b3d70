package broker

import (
	"time"

	"wheatlane/control"
)

// Meter is told what becomes of requests and attempts as it happens, on the goroutine that owns the reducer. It must
// not call back, and keeps no text that it is given, as that may be cut from a whole statement.
type Meter interface {
	// Taken says that a request was taken.
	Taken(r *Request)
	// TurnedAway says that something was answered without being taken, or refused.
	TurnedAway(kind Kind)
	// Sent says that an attempt goes to an engine.
	Sent(class string)
	// Over says that a request is over.
	Over(o Over)
	// AttemptOver says that an attempt is over.
	AttemptOver(o AttemptOver)
}

// Over is how a request ended.
type Over struct {
	Class, Tenant string
	Kind          Kind // Result, Refused or Failed
	Gone          bool // its client stopped waiting; Kind says nothing then
	Took          time.Duration
	Wanted        time.Duration // the time within which its class wants it, 0 if it says none
	Waited        time.Duration // from when it was taken to its first attempt, or to its end without one
	Attempts      int
}

// AttemptOver is how an attempt ended.
type AttemptOver struct {
	Class, Engine string
	Status        control.Status
	Took          time.Duration // from its send
	Wasted        bool          // it may have run, and no client got its answer
}

// Unmeasured is the meter of a broker that nobody watches.
type Unmeasured struct{}

// Taken does nothing.
func (Unmeasured) Taken(*Request) {}

// TurnedAway does nothing.
func (Unmeasured) TurnedAway(Kind) {}

// Sent does nothing.
func (Unmeasured) Sent(string) {}

// Over does nothing.
func (Unmeasured) Over(Over) {}

// AttemptOver does nothing.
func (Unmeasured) AttemptOver(AttemptOver) {}

// Measure sets who is told of what happens from now on.
func (b *Broker) Measure(m Meter) { b.meter = m }

// View fills v with what the decision module believes and sets.
func (b *Broker) View(v *control.View) { b.decide.View(v) }

// Sessions is the number of clients that are connected.
func (b *Broker) Sessions() int { return len(b.sessions.by) }

// measureOver tells the meter of a request's end.
func (b *Broker) measureOver(now time.Duration, r *request, kind Kind, gone bool) {
	k := b.classes[r.Class]
	o := Over{Class: r.Class, Tenant: r.Tenant, Kind: kind, Gone: gone, Took: now - r.Sent, Wanted: k.Aim,
		Waited: now - r.taken, Attempts: len(r.attempts)}
	if k.Aim > 0 { // as the module has it, but by the client's own estimate of the work
		o.Wanted += time.Duration(k.AimStretch * float64(r.Work) / float64(max(1, k.Threads)))
	}
	if len(r.attempts) > 0 {
		o.Waited = r.attempts[0].sent - r.taken
	}
	b.meter.Over(o)
}
