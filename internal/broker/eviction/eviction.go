// Package eviction keeps the order in which idle sessions are closed where there are too many: clients that connect and
// send nothing, or stay connected without requests, must not exclude others.
package eviction

import (
	"container/list"
	"time"
)

// LoginGrace is the time after which a client that has not logged in is evicted before idle sessions. Clients log in as
// soon as they connect; the time allows for a broker that is slow to read.
const LoginGrace = 250 * time.Millisecond

// Entry is the place of a session in the order. The zero value is that of a busy session, which is not evicted.
type Entry struct {
	since   time.Duration // in queue
	queue   *list.List    // nil: busy
	element *list.Element
}

// Order is the order of eviction of sessions. The zero value is empty.
type Order[Session any] struct {
	unauthenticated list.List
	idle            list.List // authenticated sessions that wait for no answer
}

// AddUnauthenticated adds a session that has connected and not logged in.
func (o *Order[Session]) AddUnauthenticated(now time.Duration, entry *Entry, session Session) {
	entry.move(now, &o.unauthenticated, o.unauthenticated.PushBack(session))
}

// MarkIdle makes a session the last of the idle ones.
func (o *Order[Session]) MarkIdle(now time.Duration, entry *Entry, session Session) {
	entry.MarkBusy()
	entry.move(now, &o.idle, o.idle.PushBack(session))
}

// MarkFirst makes a session the first of the idle ones.
func (o *Order[Session]) MarkFirst(now time.Duration, entry *Entry, session Session) {
	entry.MarkBusy()
	entry.move(now, &o.idle, o.idle.PushFront(session))
}

// Candidate is the session to evict: one that did not log in within LoginGrace, else the one idle longest, else one
// that may be about to log in; ok is false if all are busy. placeOf returns the place of a session.
func (o *Order[Session]) Candidate(now time.Duration, entryOf func(Session) *Entry) (session Session, ok bool) {
	unauthenticated, hasUnauthenticated := first[Session](&o.unauthenticated)
	idle, hasIdle := first[Session](&o.idle)
	switch {
	case !hasUnauthenticated:
		return idle, hasIdle
	case !hasIdle || now-entryOf(unauthenticated).since >= LoginGrace:
		return unauthenticated, true
	}
	return idle, true
}

// MarkBusy takes a session out of the order.
func (e *Entry) MarkBusy() {
	if e.queue != nil {
		e.queue.Remove(e.element)
	}
	e.queue, e.element = nil, nil
}

func (e *Entry) move(now time.Duration, queue *list.List, element *list.Element) {
	e.since, e.queue, e.element = now, queue, element
}

// first is the first session of a queue; ok is false if that is empty.
func first[Session any](queue *list.List) (session Session, ok bool) {
	if queue.Len() == 0 {
		return session, false
	}
	return queue.Front().Value.(Session), true
}
