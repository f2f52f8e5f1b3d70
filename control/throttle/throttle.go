// Package throttle keeps notices about one subject apart, so that an engine whose state flaps fills no log.
package throttle

import "time"

// Throttle allows one notice about each subject in an interval.
type Throttle[Subject comparable] struct {
	interval time.Duration
	lastAt   map[Subject]time.Duration
}

// New returns a throttle that has allowed no notice yet.
func New[Subject comparable](interval time.Duration) Throttle[Subject] {
	return Throttle[Subject]{interval: interval, lastAt: map[Subject]time.Duration{}}
}

// Allows reports whether a notice about a subject may be given now, and counts it as given if so.
func (t *Throttle[Subject]) Allows(subject Subject, now time.Duration) bool {
	if at, given := t.lastAt[subject]; given && now-at < t.interval {
		return false
	}
	t.lastAt[subject] = now
	return true
}

// Forget drops what is known of a subject that is gone.
func (t *Throttle[Subject]) Forget(subject Subject) { delete(t.lastAt, subject) }

// Len is the number of subjects that are known.
func (t *Throttle[Subject]) Len() int { return len(t.lastAt) }
