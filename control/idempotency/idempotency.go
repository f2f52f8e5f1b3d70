// Package idempotency holds the rule that prevents the effect of a request from happening twice. It decides
// which attempt may follow an earlier one, at which engine, and when a client may be invited to retry.
package idempotency

import "time"

// Kind specifies whether a request may run more than once.
type Kind int

// The kinds of idempotency.
const (
	Idempotent        Kind = iota // may run any number of times
	IdempotentWithKey             // engines of a scope drop duplicates for the length of the dedup window
	NonIdempotent                 // must not run twice
)

// Scope is the group of engines that together drop duplicates of a request that is idempotent with a key.
type Scope int

// The scopes of duplicate detection.
const (
	ScopeAll  Scope = iota // every engine
	ScopeZone              // the engines of one zone
	ScopeCell              // the engines of one cell
)

// includes reports whether two engines drop duplicates of each other's requests.
func (s Scope) includes(a, b Location) bool {
	switch s {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return false
}

// Location identifies the zone and the cell of an engine, for comparison with a scope.
type Location struct {
	Zone string
	Cell int
}

// Policy is the idempotency of a class of request. The zero value is the policy of an idempotent class.
type Policy struct {
	Kind        Kind
	DedupScope  Scope         // engines that drop duplicates, if idempotent with a key
	DedupWindow time.Duration // time for which they drop duplicates, from the first attempt on
}

// Attempt describes an earlier attempt at the time when a further one is about to be sent.
type Attempt struct {
	Location   Location      // of its engine
	Age        time.Duration // since it was sent, at the latest time at which the further one may be sent
	MayHaveRun bool          // the attempt ran, may have run or is in flight
}

// AllowsRetry reports whether a further attempt may be sent to an engine after an earlier one.
func (p Policy) AllowsRetry(earlier Attempt, at Location) bool {
	if !earlier.MayHaveRun || p.Kind == Idempotent {
		return true
	}
	return p.DedupScope.includes(earlier.Location, at) && !p.ForbidsRetry(earlier)
}

// ForbidsRetry reports whether an earlier attempt rules out a further one at every engine permanently.
func (p Policy) ForbidsRetry(earlier Attempt) bool {
	if !earlier.MayHaveRun {
		return false
	}
	return p.Kind == NonIdempotent || p.Kind == IdempotentWithKey && earlier.Age >= p.DedupWindow
}

// RepeatableAnywhere reports whether a request may run again at any engine.
func (p Policy) RepeatableAnywhere() bool {
	return p.Kind == Idempotent || p.Kind == IdempotentWithKey && p.DedupScope == ScopeAll
}

// AllowsRejection reports whether a request may be rejected, which invites its client to retry; the retry may
// reach any engine. A request that may not be rejected must fail.
func (p Policy) AllowsRejection(mayHaveRun bool) bool { return !mayHaveRun || p.RepeatableAnywhere() }
