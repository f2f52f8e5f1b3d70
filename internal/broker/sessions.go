package broker

import (
	"container/list"
	"time"
)

const (
	killed     = "the query was killed"
	halfClosed = "its client wrote that nothing more comes"
	mostQueued = 2 // commands that a session may have waiting for their turn
	// sayWithin is how long a client that has just connected may take to log in before it makes room ahead of
	// those that are idle. Usual clients log in as they connect; the time is for a broker that is slow to read it.
	sayWithin = 250 * time.Millisecond
)

// session is a client's connection.
type session struct {
	id     Session
	open   *request // what it waits for an answer to
	queue  []Event  // commands that came meanwhile
	since  time.Duration
	killed time.Duration // when a client last wrote that what it had asked by then is to end
	in     *list.List    // where it stands in line to make room; nil while it waits for an answer
	place  *list.Element // in that line
}

// sessions are the clients' connections, and which of them make room for others. Guards against clients that
// connect and say nothing, or ask once and stay, and so shut the others out.
type sessions struct {
	most int
	by   map[Session]*session
	// Those that can be spared, by how long they have been so.
	silent list.List // never logged in
	idle   list.List // wait for no answer
}

func newSessions(most int) sessions { return sessions{most: most, by: map[Session]*session{}} }

// spare puts a session into a line, at its end or ahead of all, and takes it out of the one it was in.
func (s *session) spare(now time.Duration, in *list.List, first bool) {
	s.busy()
	s.since, s.in = now, in
	if first {
		s.place = in.PushFront(s)
		return
	}
	s.place = in.PushBack(s)
}

// busy takes a session out of line.
func (s *session) busy() {
	if s.in != nil {
		s.in.Remove(s.place)
	}
	s.in, s.place = nil, nil
}

// connected admits a client, or turns it away if there are too many and none can be spared.
func (b *Broker) connected(now time.Duration, id Session) {
	all := &b.sessions
	if len(all.by) >= all.most {
		s := all.spared(now)
		if s == nil {
			b.reply(id, Reply{Kind: ReplyTooManySessions, Text: "too many connections"})
			b.do(CloseSession{id, CloseTooManySessions})
			return
		}
		b.do(CloseSession{s.id, CloseEvictedIdle})
		b.sessionEnds(now, s.id)
	}
	s := &session{id: id}
	all.by[id] = s
	s.spare(now, &all.silent, false)
	b.do(AdmitSession{id})
}

// spared is the session that can best be spared: one that had time to log in and did not, else the one idle
// longest, else one that may be about to log in.
func (all *sessions) spared(now time.Duration) *session {
	silent, idle := all.silent.Front(), all.idle.Front()
	switch {
	case silent != nil && (idle == nil || now-silent.Value.(*session).since >= sayWithin):
		return silent.Value.(*session)
	case idle != nil:
		return idle.Value.(*session)
	}
	return nil
}

func (b *Broker) loggedIn(now time.Duration, id Session) {
	if s := b.sessions.by[id]; s != nil {
		s.spare(now, &b.sessions.idle, false)
	}
}

// sessionEnds forgets a session. What it waits for is not owed any more.
func (b *Broker) sessionEnds(now time.Duration, id Session) {
	s := b.sessions.by[id]
	if s == nil {
		return
	}
	if s.open != nil {
		b.gone(now, s.open)
	}
	s.busy()
	delete(b.sessions.by, id)
}

// halfClosed ends a session whose client may still read, with an answer to all that it asked and that waits.
func (b *Broker) halfClosed(now time.Duration, id Session) {
	s := b.sessions.by[id]
	if s == nil {
		return
	}
	if r := s.open; r != nil {
		b.reply(id, r.lastWord(halfClosed))
	}
	for _, ev := range s.queue {
		if _, ok := ev.(SubmitRequest); ok {
			b.reply(id, Reply{Kind: ReplyRejected, Text: halfClosed})
		}
	}
	b.sessionEnds(now, id)
}

// command takes what a session asks, one thing at a time: what comes ahead of an answer waits its turn. What
// comes of one that was closed meanwhile is passed over.
func (b *Broker) command(now time.Duration, id Session, ev Event) {
	s := b.sessions.by[id]
	if s == nil {
		return
	}
	if s.open != nil {
		if len(s.queue) >= mostQueued {
			b.reply(id, Reply{Kind: ReplyInterrupted, Text: "too much was asked ahead of an answer"})
			b.do(CloseSession{id, CloseKilled})
			b.sessionEnds(now, id)
			return
		}
		s.queue = append(s.queue, ev)
		return
	}
	bad := false
	switch ev := ev.(type) {
	case SubmitRequest:
		bad = !b.submit(now, s, ev)
	case Ping:
		if b.stopped || b.ready == 0 {
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
	if s.open != nil {
		s.busy()
	} else if b.sessions.by[id] == s {
		s.spare(now, &b.sessions.idle, bad) // one that talks nonsense makes room first
	}
}

func (b *Broker) kill(now time.Duration, ev Kill) {
	target := b.sessions.by[ev.Target]
	if target == nil {
		b.reply(ev.RequestedBy, Reply{Kind: ReplyUnknownSession, Text: "no such session"})
		return
	}
	b.reply(ev.RequestedBy, Reply{Kind: ReplyOK})
	target.killed = max(target.killed, ev.SentAt)
	if r := target.open; r != nil {
		b.reply(ev.Target, Reply{Kind: ReplyInterrupted, Text: killed})
		b.gone(now, r)
		b.idle(now, ev.Target)
	}
	if ev.CloseConnection {
		b.do(CloseSession{ev.Target, CloseKilled})
		b.sessionEnds(now, ev.Target)
	}
}

// idle lets a session go on with what came ahead of its answer.
func (b *Broker) idle(now time.Duration, id Session) {
	s := b.sessions.by[id]
	if s == nil {
		return
	}
	s.open = nil
	s.spare(now, &b.sessions.idle, false)
	for s.open == nil && len(s.queue) > 0 {
		ev := s.queue[0]
		s.queue = s.queue[1:]
		b.command(now, id, ev)
	}
}
