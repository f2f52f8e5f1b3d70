// Package eviction maintains the order in which sessions are evicted when the session limit is reached, so that clients
// that connect without logging in or hold idle connections do not lock out other clients.
package eviction

import (
	"container/list"
	"time"
)

// LoginGrace is the time after which a client that has not logged in is evicted before idle sessions. Clients log in
// immediately after they connect; the grace period allows for delays in the broker before it reads the login.
const LoginGrace = 250 * time.Millisecond

// Entry is a session's entry in the eviction order. The zero value belongs to a busy session, which is not evicted.
type Entry struct {
	since   time.Duration // time at which it was added to queue
	queue   *list.List    // nil: busy
	element *list.Element
	// protectedUntil is the time before which an idle session is not evicted.
	protectedUntil time.Duration
	// lastUntil is the time before which an idle session is evicted only if there is no other one.
	lastUntil time.Duration
}

// MakeLast makes a session that is idle before a time the last choice for an eviction.
func (e *Entry) MakeLast(until time.Duration) { e.lastUntil = until }

// Protect prevents the eviction of a session that is idle before a time.
func (e *Entry) Protect(until time.Duration) { e.protectedUntil = until }

// Order is the eviction order of sessions. The zero value is empty. It is not safe for concurrent use.
type Order[Session any] struct {
	unauthenticated list.List
	idle            list.List // authenticated sessions without an open request
}

// AddUnauthenticated adds a session whose client has connected but not logged in.
func (o *Order[Session]) AddUnauthenticated(now time.Duration, entry *Entry, session Session) {
	entry.move(now, &o.unauthenticated, o.unauthenticated.PushBack(session))
}

// MarkIdle moves a session to the end of the idle sessions.
func (o *Order[Session]) MarkIdle(now time.Duration, entry *Entry, session Session) {
	entry.MarkBusy()
	entry.move(now, &o.idle, o.idle.PushBack(session))
}

// MarkFirst moves a session to the front of the idle sessions.
func (o *Order[Session]) MarkFirst(now time.Duration, entry *Entry, session Session) {
	entry.MarkBusy()
	entry.move(now, &o.idle, o.idle.PushFront(session))
}

// Postpone moves a session to the end of its queue.
func (o *Order[Session]) Postpone(now time.Duration, entry *Entry, session Session) {
	queue := entry.queue
	entry.MarkBusy()
	entry.move(now, queue, queue.PushBack(session))
}

// Candidate returns the session to evict: one that did not log in within LoginGrace, else the first idle session, else
// one that may still log in within LoginGrace, else an idle one that is the last choice; ok is false if all sessions
// are busy or protected. entryOf returns an entry.
func (o *Order[Session]) Candidate(now time.Duration, entryOf func(Session) *Entry) (session Session, ok bool) {
	unauthenticated, hasUnauthenticated := first[Session](&o.unauthenticated)
	idle, hasIdle := firstWith(&o.idle, func(s Session) bool {
		return entryOf(s).protectedUntil <= now && entryOf(s).lastUntil <= now
	})
	switch {
	case !hasUnauthenticated && !hasIdle:
		return firstWith(&o.idle, func(s Session) bool { return entryOf(s).protectedUntil <= now })
	case !hasUnauthenticated:
		return idle, true
	case !hasIdle || now-entryOf(unauthenticated).since >= LoginGrace:
		return unauthenticated, true
	}
	return idle, true
}

// MarkBusy removes a session from the eviction order.
func (e *Entry) MarkBusy() {
	if e.queue != nil {
		e.queue.Remove(e.element)
	}
	e.queue, e.element = nil, nil
}

func (e *Entry) move(now time.Duration, queue *list.List, element *list.Element) {
	e.since, e.queue, e.element = now, queue, element
}

// first returns the first session of a queue; ok is false if the queue is empty.
func first[Session any](queue *list.List) (session Session, ok bool) {
	if queue.Len() == 0 {
		return session, false
	}
	return queue.Front().Value.(Session), true
}

// firstWith returns the first session of a queue with a property; ok is false if there is none.
func firstWith[Session any](queue *list.List, property func(Session) bool) (session Session, ok bool) {
	for element := queue.Front(); element != nil; element = element.Next() {
		if session := element.Value.(Session); property(session) {
			return session, true
		}
	}
	return session, false
}
