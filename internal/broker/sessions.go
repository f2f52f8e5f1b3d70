package broker

import (
	"container/list"
	"time"
)

const (
	queryKilledText   = "the query was killed"
	halfClosedText    = "its client wrote that nothing more comes"
	maxQueuedCommands = 2 // commands that a session may have waiting for their turn
	// loginGrace is how long a client that has just connected may take to log in before it makes room ahead of
	// those that are idle. Usual clients log in as they connect; the time is for a broker that is slow to read it.
	loginGrace = 250 * time.Millisecond
)

// session is a client's connection.
type session struct {
	id              Session
	openRequest     *request // what it waits for an answer to
	queuedCommands  []Event  // commands that came meanwhile
	evictableSince  time.Duration
	killedAt        time.Duration // when a client last wrote that what it had asked by then is to end
	evictionQueue   *list.List    // where it stands in line to make room; nil while it waits for an answer
	evictionElement *list.Element // in that line
}

// sessionTable are the clients' connections, and which of them make room for others. Guards against clients that
// connect and say nothing, or ask once and stay, and so shut the others out.
type sessionTable struct {
	max  int
	byID map[Session]*session
	// Those that can be spared, by how long they have been so.
	unauthenticated list.List // never logged in
	idle            list.List // wait for no answer
}

func newSessionTable(most int) sessionTable {
	return sessionTable{max: most, byID: map[Session]*session{}}
}

// markEvictable puts a session into a line, at its end or ahead of all, and takes it out of the one it was in.
func (s *session) markEvictable(now time.Duration, in *list.List, first bool) {
	s.markBusy()
	s.evictableSince, s.evictionQueue = now, in
	if first {
		s.evictionElement = in.PushFront(s)
		return
	}
	s.evictionElement = in.PushBack(s)
}

// markBusy takes a session out of line.
func (s *session) markBusy() {
	if s.evictionQueue != nil {
		s.evictionQueue.Remove(s.evictionElement)
	}
	s.evictionQueue, s.evictionElement = nil, nil
}

// openSession admits a client, or turns it away if there are too many and none can be spared.
func (b *Broker) openSession(now time.Duration, id Session) {
	all := &b.sessions
	if len(all.byID) >= all.max {
		s := all.evictionCandidate(now)
		if s == nil {
			b.reply(id, Reply{Kind: ReplyTooManySessions, Text: "too many connections"})
			b.emit(CloseSession{id, CloseTooManySessions})
			return
		}
		b.emit(CloseSession{s.id, CloseEvictedIdle})
		b.endSession(now, s.id)
	}
	s := &session{id: id}
	all.byID[id] = s
	s.markEvictable(now, &all.unauthenticated, false)
	b.emit(AdmitSession{id})
}

// evictionCandidate is the session that can best be spared: one that had time to log in and did not, else the one idle
// longest, else one that may be about to log in.
func (all *sessionTable) evictionCandidate(now time.Duration) *session {
	silent, idle := all.unauthenticated.Front(), all.idle.Front()
	switch {
	case silent != nil && (idle == nil || now-silent.Value.(*session).evictableSince >= loginGrace):
		return silent.Value.(*session)
	case idle != nil:
		return idle.Value.(*session)
	}
	return nil
}

func (b *Broker) authenticateSession(now time.Duration, id Session) {
	if s := b.sessions.byID[id]; s != nil {
		s.markEvictable(now, &b.sessions.idle, false)
	}
}

// endSession forgets a session. What it waits for is not owed any more.
func (b *Broker) endSession(now time.Duration, id Session) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	if s.openRequest != nil {
		b.abandonRequest(now, s.openRequest)
	}
	s.markBusy()
	delete(b.sessions.byID, id)
}

// halfCloseSession ends a session whose client may still read, with an answer to all that it asked and that waits.
func (b *Broker) halfCloseSession(now time.Duration, id Session) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	if r := s.openRequest; r != nil {
		b.reply(id, r.finalAnswer(halfClosedText))
	}
	for _, ev := range s.queuedCommands {
		if _, ok := ev.(SubmitRequest); ok {
			b.reply(id, Reply{Kind: ReplyRejected, Text: halfClosedText})
		}
	}
	b.endSession(now, id)
}

// handleCommand takes what a session asks, one thing at a time: what comes ahead of an answer waits its turn. What
// comes of one that was closed meanwhile is passed over.
func (b *Broker) handleCommand(now time.Duration, id Session, ev Event) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	if s.openRequest != nil {
		if len(s.queuedCommands) >= maxQueuedCommands {
			b.reply(id, Reply{Kind: ReplyInterrupted, Text: "too much was asked ahead of an answer"})
			b.emit(CloseSession{id, CloseKilled})
			b.endSession(now, id)
			return
		}
		s.queuedCommands = append(s.queuedCommands, ev)
		return
	}
	bad := false
	switch ev := ev.(type) {
	case SubmitRequest:
		bad = !b.submit(now, s, ev)
	case Ping:
		if b.shuttingDown || b.readyEngines == 0 {
			b.reply(id, Reply{Kind: ReplyNotReady, Text: "no engine can be used, or the broker is stopping"})
		} else {
			b.reply(id, Reply{Kind: ReplyOK})
		}
	case Kill:
		b.kill(now, ev)
	case InvalidRequest:
		b.reply(id, ev.Reply)
		bad = true
	}
	if s.openRequest != nil {
		s.markBusy()
	} else if b.sessions.byID[id] == s {
		s.markEvictable(now, &b.sessions.idle, bad) // one that talks nonsense makes room first
	}
}

func (b *Broker) kill(now time.Duration, ev Kill) {
	target := b.sessions.byID[ev.Target]
	if target == nil {
		b.reply(ev.RequestedBy, Reply{Kind: ReplyUnknownSession, Text: "no such session"})
		return
	}
	b.reply(ev.RequestedBy, Reply{Kind: ReplyOK})
	target.killedAt = max(target.killedAt, ev.SentAt)
	if r := target.openRequest; r != nil {
		b.reply(ev.Target, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
		b.abandonRequest(now, r)
		b.resumeSession(now, ev.Target)
	}
	if ev.CloseConnection {
		b.emit(CloseSession{ev.Target, CloseKilled})
		b.endSession(now, ev.Target)
	}
}

// resumeSession lets a session go on with what came ahead of its answer.
func (b *Broker) resumeSession(now time.Duration, id Session) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	s.openRequest = nil
	s.markEvictable(now, &b.sessions.idle, false)
	for s.openRequest == nil && len(s.queuedCommands) > 0 {
		ev := s.queuedCommands[0]
		s.queuedCommands = s.queuedCommands[1:]
		b.handleCommand(now, id, ev)
	}
}
