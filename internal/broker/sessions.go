package broker

import (
	"time"

	"wheatlane/internal/broker/eviction"
	"wheatlane/internal/fifo"
	"wheatlane/internal/overload"
)

// session is a client's connection.
type session struct {
	id             Session
	openRequest    *request                  // the request that it waits for; nil: none
	awaitsKill     bool                      // it waits for the answer of the other process to its KILL
	queuedCommands fifo.Queue[queuedCommand] // read after the command that it waits for, not yet executed
	queuedRequests int                       // number of SubmitRequest commands in queuedCommands
	killedAt       time.Duration             // requests sent before this time are killed

	evictFirst        bool // the last command was an ImmediateReply, or a request with invalid fields
	closeOnceAnswered bool // no further command follows

	evictionEntry eviction.Entry // busy while the session has an open request
}

// awaitsReply reports whether the session waits for the reply to a command.
func (s *session) awaitsReply() bool { return s.openRequest != nil || s.awaitsKill }

// sessionTable holds the clients' sessions and the order in which they are evicted when the session limit is reached.
type sessionTable struct {
	max  int
	byID map[Session]*session
	// closedByBroker holds the sessions that the broker has closed and whose connections have not ended yet.
	closedByBroker map[Session]bool
	evictionOrder  eviction.Order[*session]
}

func newSessionTable(maxSessions int) sessionTable {
	return sessionTable{max: maxSessions, byID: map[Session]*session{}, closedByBroker: map[Session]bool{}}
}

// add adds a session that has not authenticated.
func (t *sessionTable) add(now time.Duration, id Session) {
	session := &session{id: id}
	t.byID[id] = session
	t.evictionOrder.AddUnauthenticated(now, &session.evictionEntry, session)
}

func (t *sessionTable) remove(session *session) {
	session.markBusy()
	delete(t.byID, session.id)
}

// markIdle makes a session the last of the idle sessions to evict.
func (t *sessionTable) markIdle(now time.Duration, session *session) {
	t.evictionOrder.MarkIdle(now, &session.evictionEntry, session)
}

// markFirstToEvict makes a session the first of the idle sessions to evict.
func (t *sessionTable) markFirstToEvict(now time.Duration, session *session) {
	t.evictionOrder.MarkFirst(now, &session.evictionEntry, session)
}

// markBusy removes a session from the eviction order.
func (s *session) markBusy() { s.evictionEntry.MarkBusy() }

// evictionCandidate returns the session to evict; nil if all are busy.
func (t *sessionTable) evictionCandidate(now time.Duration) *session {
	candidate, ok := t.evictionOrder.Candidate(now, func(s *session) *eviction.Entry { return &s.evictionEntry })
	if !ok {
		return nil
	}
	return candidate
}

// SessionCount returns the number of open sessions.
func (b *Broker) SessionCount() int { return len(b.sessions.byID) }

// openSession admits a client, or rejects it if the session limit is reached and no session can be evicted.
func (b *Broker) openSession(now time.Duration, id Session) {
	if b.overload >= overload.StopAdmitting {
		b.rejectSession(id)
		return
	}
	for len(b.sessions.byID) >= b.sessions.max {
		if !b.evictSession(now) {
			b.rejectSession(id)
			return
		}
	}
	b.sessions.add(now, id)
	b.emit(AdmitSession{id})
}

// rejectSession rejects a client that has connected.
func (b *Broker) rejectSession(id Session) {
	b.reply(id, Reply{Kind: ReplyTooManySessions, Text: tooManySessionsText})
	b.closeSession(id, CloseTooManySessions)
}

// maxEvictionCandidates limits the sessions that are considered for one eviction.
const maxEvictionCandidates = 16

// evictSession closes a session that may be evicted. It reports false if there is none. A session is not idle if a
// command of it has arrived, which the reducer does not know yet: it becomes the last one to evict.
func (b *Broker) evictSession(now time.Duration) (evicted bool) {
	for range maxEvictionCandidates {
		candidate := b.sessions.evictionCandidate(now)
		if candidate == nil {
			return false
		}
		if !candidate.evictFirst && b.input.Pending(candidate.id) {
			b.sessions.evictionOrder.Postpone(now, &candidate.evictionEntry, candidate)
			continue
		}
		b.closeSession(candidate.id, CloseEvictedIdle)
		b.endSession(now, candidate.id, EndClientClosed)
		return true
	}
	return false
}

// closeSession closes a client's connection and records that the broker closed it.
func (b *Broker) closeSession(id Session, reason CloseReason) {
	b.sessions.closedByBroker[id] = true
	b.emit(CloseSession{id, reason})
}

func (b *Broker) authenticateSession(now time.Duration, id Session) {
	if session := b.sessions.byID[id]; session != nil {
		session.evictionEntry.MakeLast(now + min(b.memory.servedSessionGrace, eviction.LoginGrace))
		b.sessions.markIdle(now, session)
	}
}

// endSession removes a session and abandons its open request with the given cause.
func (b *Broker) endSession(now time.Duration, id Session, cause EndCause) {
	session := b.sessions.byID[id]
	if session == nil {
		return
	}
	if session.openRequest != nil {
		b.abandon(now, session.openRequest, cause)
	}
	for _, queued := range session.queuedCommands.Items() { // if any remain to be answered, they are answered in this call
		queued.due.Clear()
		b.memory.releaseCommand(queued.command)
	}
	b.sessions.remove(session)
}

// halfCloseSession answers the open request and the queued commands of a session whose client may still read, and ends
// the session.
func (b *Broker) halfCloseSession(now time.Duration, id Session) {
	session := b.sessions.byID[id]
	if session == nil {
		return
	}
	b.answerAllCommands(now, session, EndClientHalfClosed)
	b.endSession(now, id, EndClientHalfClosed)
}

// closeUnlessBusy closes a session whose client has not completed a message in time. A request that came before that
// message is answered first: its client may have stalled for a moment only.
func (b *Broker) closeUnlessBusy(now time.Duration, id Session) {
	session := b.sessions.byID[id]
	if session == nil || session.awaitsReply() {
		return
	}
	b.closeSession(id, CloseMessageTimeout)
	b.endSession(now, id, EndClientClosed)
}

// closeOnceAnswered closes a session that sends no further command, now or once its open and queued commands are
// answered.
func (b *Broker) closeOnceAnswered(now time.Duration, id Session) {
	session := b.sessions.byID[id]
	if session == nil {
		return
	}
	session.closeOnceAnswered = true
	b.closeIfAnswered(now, session)
}

// closeIfAnswered closes a session that sends no further command and has none to be answered.
func (b *Broker) closeIfAnswered(now time.Duration, session *session) {
	if session.closeOnceAnswered && !session.awaitsReply() {
		b.closeSession(session.id, CloseEvictedIdle)
		b.endSession(now, session.id, EndClientClosed)
	}
}
