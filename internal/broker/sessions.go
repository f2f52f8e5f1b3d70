package broker

import (
	"time"

	"wheatlane/internal/broker/eviction"
)

// session is a client's connection.
type session struct {
	id             Session
	openRequest    *request      // it waits for the answer to it
	queuedCommands []command     // that came meanwhile
	queuedRequests int           // of them, those that are to run
	killedAt       time.Duration // requests sent before it are killed

	evictFirst bool // the last command was an ImmediateReply, or a request with invalid fields

	evictionPlace eviction.Place // busy while the session waits for an answer
}

// sessionTable holds the clients' sessions and the order in which they are evicted when their limit is reached.
type sessionTable struct {
	max  int
	byID map[Session]*session
	// closedHere are the sessions that were closed from this side and whose connections have not ended yet.
	closedHere    map[Session]bool
	evictionOrder eviction.Order[*session]
}

func newSessionTable(maxSessions int) sessionTable {
	return sessionTable{max: maxSessions, byID: map[Session]*session{}, closedHere: map[Session]bool{}}
}

// add adds a session that has not authenticated.
func (t *sessionTable) add(now time.Duration, id Session) {
	s := &session{id: id}
	t.byID[id] = s
	t.evictionOrder.AddUnauthenticated(now, &s.evictionPlace, s)
}

func (t *sessionTable) remove(s *session) {
	s.markBusy()
	delete(t.byID, s.id)
}

// markIdle makes a session the last of the idle ones to evict.
func (t *sessionTable) markIdle(now time.Duration, s *session) {
	t.evictionOrder.MarkIdle(now, &s.evictionPlace, s)
}

// markFirstToEvict makes a session the first of the idle ones to evict.
func (t *sessionTable) markFirstToEvict(now time.Duration, s *session) {
	t.evictionOrder.MarkFirst(now, &s.evictionPlace, s)
}

// markBusy keeps a session from being evicted.
func (s *session) markBusy() { s.evictionPlace.MarkBusy() }

// evictionCandidate is the session to evict; nil if all are busy.
func (t *sessionTable) evictionCandidate(now time.Duration) *session {
	candidate, ok := t.evictionOrder.Candidate(now, func(s *session) *eviction.Place { return &s.evictionPlace })
	if !ok {
		return nil
	}
	return candidate
}

// SessionCount is the number of clients that are connected.
func (b *Broker) SessionCount() int { return len(b.sessions.byID) }

// openSession admits a client, or rejects it if the limit of sessions is reached and none can be evicted.
func (b *Broker) openSession(now time.Duration, id Session) {
	if len(b.sessions.byID) >= b.sessions.max {
		evicted := b.sessions.evictionCandidate(now)
		if evicted == nil {
			b.reply(id, Reply{Kind: ReplyTooManySessions, Text: tooManySessionsText})
			b.closeSession(id, CloseTooManySessions)
			return
		}
		b.closeSession(evicted.id, CloseEvictedIdle)
		b.endSession(now, evicted.id, EndClientClosed)
	}
	b.sessions.add(now, id)
	b.emit(AdmitSession{id})
}

// closeSession closes a client's connection from this side.
func (b *Broker) closeSession(id Session, reason CloseReason) {
	b.sessions.closedHere[id] = true
	b.emit(CloseSession{id, reason})
}

func (b *Broker) authenticateSession(now time.Duration, id Session) {
	if s := b.sessions.byID[id]; s != nil {
		b.sessions.markIdle(now, s)
	}
}

// endSession forgets a session and abandons the request that it waits for, for a cause.
func (b *Broker) endSession(now time.Duration, id Session, cause EndCause) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	if s.openRequest != nil {
		b.abandon(now, s.openRequest, cause)
	}
	b.sessions.remove(s)
}

// halfCloseSession ends a session whose client may still read: its open and its queued requests are answered.
func (b *Broker) halfCloseSession(now time.Duration, id Session) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	b.answerAllQueued(now, s, EndClientHalfClosed)
	b.endSession(now, id, EndClientHalfClosed)
}
