// Package referee holds what clients, engines and the change log saw against the rules of the protocol: what came
// of it is judged by none of the broker's own books. It does no I/O and reads no clock.
package conformance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace      time.Duration // nothing new goes to an engine so long after its drain was told
	Slack           time.Duration // what sockets and clocks add to each time
	MaxAttempts     int           // attempts of a request
	DisconnectGrace time.Duration // nothing of a request goes to an engine so long after its client has left; 0: not judged
	NoHedging       bool          // a request has one attempt out at a time
}

// Outcome is how a request ended at its client.
type Outcome string

// The outcomes.
const (
	Served      Outcome = "served"
	Rejected    Outcome = "refused"
	Failed      Outcome = "failed"
	ClientLeft  Outcome = "left"  // the client stopped waiting
	Unanswered  Outcome = "lost"  // the connection ended without an answer
	WrongAnswer Outcome = "wrong" // served with what no engine made for it
)

// Request is what a client asked.
type Request struct {
	ID, Class, Key string
	NonIdempotent  bool // its class may not run twice
	SentAt         time.Time
	Timeout        time.Duration
	Outcome        Outcome
	EndedAt        time.Time
}

type run struct {
	ref, engine string
	from, to    time.Time
}

// Checker keeps what happened. It may be used from several goroutines.
type Checker struct {
	mu       sync.Mutex
	rules    Rules
	requests map[string]*Request
	runs     []*run
	open     map[[2]string]*run // by engine and request
	drains   map[string]time.Time
}

// New returns one that has seen nothing.
func New(r Rules) *Checker {
	return &Checker{rules: r, requests: map[string]*Request{}, open: map[[2]string]*run{}, drains: map[string]time.Time{}}
}

// RequestSent says that a client has written a request.
func (r *Checker) RequestSent(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.ID] = &q
}

// RequestEnded says how a request ended at its client.
func (r *Checker) RequestEnded(ref string, out Outcome, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[ref]; q != nil {
		q.Outcome, q.EndedAt = out, at
	}
}

// AttemptReceived says that an engine took a request.
func (r *Checker) AttemptReceived(engine, ref string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &run{ref: ref, engine: engine, from: at}
	r.runs = append(r.runs, n)
	r.open[[2]string{engine, ref}] = n
}

// AttemptEnded says that an engine wrote the end of a request, or that it was given up there.
func (r *Checker) AttemptEnded(engine, ref string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := [2]string{engine, ref}
	if n := r.open[k]; n != nil {
		n.to = at
		delete(r.open, k)
	}
}

// EngineDraining says that brokers were told that an engine drains or is gone.
func (r *Checker) EngineDraining(engine string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.drains[engine]; !known {
		r.drains[engine] = at
	}
}

// EngineInService says that an engine takes work, again or anew.
func (r *Checker) EngineInService(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drains, engine)
}

// Verdict is what a referee found.
type Verdict struct {
	Requests int
	Outcomes map[Outcome]int
	Attempts int
	Waited   int // requests that had not been sent on when their clients left
	SentLate int // of these, those that were sent on after the grace
	Breaches []string
}

const mostBreaches = 50

// Check holds all that happened up to now against the rules. Requests that are open are no breach until their time has
// passed.
func (r *Checker) Check(now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Requests: len(r.requests), Outcomes: map[Outcome]int{}, Attempts: len(r.runs)}
	breach := func(format string, args ...any) {
		if len(v.Breaches) < mostBreaches {
			v.Breaches = append(v.Breaches, fmt.Sprintf(format, args...))
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[ref]
		v.Outcomes[q.Outcome]++
		switch {
		case q.Outcome == Unanswered || q.Outcome == WrongAnswer:
			breach("request %s of %s: %s", ref, q.Class, q.Outcome)
		case q.Outcome == "" && now.Sub(q.SentAt) > q.Timeout+r.rules.Slack:
			breach("request %s of %s has no answer after %v", ref, q.Class, now.Sub(q.SentAt))
		}
	}
	r.judgeRuns(breach)
	r.judgeOrder(breach)
	r.judgeLeaving(&v, breach)
	if r.rules.NoHedging {
		r.judgeCopies(breach)
	}
	return v
}

// judgeLeaving looks at requests whose clients left before they were sent on.
func (r *Checker) judgeLeaving(v *Verdict, breach func(string, ...any)) {
	if r.rules.DisconnectGrace <= 0 {
		return
	}
	first := map[string]time.Time{}
	for _, n := range r.runs {
		if at, known := first[n.ref]; !known || n.from.Before(at) {
			first[n.ref] = n.from
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[ref]
		from, sent := first[ref]
		if q.Outcome != ClientLeft || sent && !from.After(q.EndedAt) {
			continue
		}
		v.Waited++
		if late := from.Sub(q.EndedAt); sent && late > r.rules.DisconnectGrace {
			v.SentLate++
			breach("request %s of %s was sent on %v after its client had left", ref, q.Class, late)
		}
	}
}

// judgeCopies looks for requests with two attempts out at once.
func (r *Checker) judgeCopies(breach func(string, ...any)) {
	of := map[string][]*run{}
	for _, n := range r.runs {
		of[n.ref] = append(of[n.ref], n)
	}
	for _, ref := range slices.Sorted(maps.Keys(of)) {
		runs := slices.SortedFunc(slices.Values(of[ref]), func(a, b *run) int { return a.from.Compare(b.from) })
		for i, b := range runs[1:] {
			if a := runs[i]; a.to.IsZero() || a.to.After(b.from) {
				breach("request %s was out at %s and %s at once", ref, a.engine, b.engine)
			}
		}
	}
}

// judgeRuns looks at each attempt by itself and at how many there are.
func (r *Checker) judgeRuns(breach func(string, ...any)) {
	tries := map[string]int{}
	for _, n := range r.runs {
		tries[n.ref]++
		q := r.requests[n.ref]
		if q == nil {
			breach("engine %s was asked %s, which no client asked", n.engine, n.ref)
			continue
		}
		if told, drains := r.drains[n.engine]; drains && n.from.Sub(told) > r.rules.DrainGrace+r.rules.Slack {
			breach("engine %s was asked %s %v after its drain was told", n.engine, n.ref, n.from.Sub(told))
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(tries)) {
		q := r.requests[ref]
		if q != nil && r.rules.MaxAttempts > 0 && tries[ref] > r.rules.MaxAttempts {
			breach("request %s of %s: %d attempts", ref, q.Class, tries[ref])
		}
		if q != nil && q.NonIdempotent && tries[ref] > 1 {
			breach("request %s of %s, which may run once: %d attempts", ref, q.Class, tries[ref])
		}
	}
}

// judgeOrder looks at requests of one key: one runs at a time, in the order in which they were asked.
func (r *Checker) judgeOrder(breach func(string, ...any)) {
	keys := map[string][]*run{}
	for _, n := range r.runs {
		if q := r.requests[n.ref]; q != nil && q.Key != "" {
			keys[q.Key] = append(keys[q.Key], n)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		runs := keys[key]
		slices.SortFunc(runs, func(a, b *run) int { return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.ref, b.ref)) })
		for i, b := range runs {
			for _, a := range runs[:i] {
				if a.ref == b.ref {
					continue
				}
				if a.to.IsZero() || a.to.After(b.from) {
					breach("key %s: %s ran at %s while %s ran at %s", key, b.ref, b.engine, a.ref, a.engine)
				}
				if r.requests[a.ref].SentAt.After(r.requests[b.ref].SentAt) {
					breach("key %s: %s ran ahead of %s, which was asked before it", key, a.ref, b.ref)
				}
			}
		}
	}
}
