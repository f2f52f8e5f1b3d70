// Package throttle limits the rate of notices about each subject, so that an engine whose state flaps does
// not flood the log.
package throttle

import "time"

// Throttle allows at most one notice about each subject per interval.
type Throttle[Subject comparable] struct {
	interval time.Duration
	lastAt   map[Subject]time.Duration
}

// New returns a throttle that has not allowed any notice yet.
func New[Subject comparable](interval time.Duration) Throttle[Subject] {
	return Throttle[Subject]{interval: interval, lastAt: map[Subject]time.Duration{}}
}

// Allows reports whether a notice about a subject may be issued now, and if so records it as issued.
func (t *Throttle[Subject]) Allows(subject Subject, now time.Duration) bool {
	if at, issued := t.lastAt[subject]; issued && now-at < t.interval {
		return false
	}
	t.lastAt[subject] = now
	return true
}

// Forget removes a subject that no longer exists.
func (t *Throttle[Subject]) Forget(subject Subject) { delete(t.lastAt, subject) }

// Len returns the number of subjects that the throttle tracks.
func (t *Throttle[Subject]) Len() int { return len(t.lastAt) }
