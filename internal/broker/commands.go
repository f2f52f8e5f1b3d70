package broker

import "time"

// command is an event whose answer keeps the order of the commands of its session.
type command interface {
	Event
	// sender is the session that is to be answered.
	sender() Session
	// execute answers the command or opens its request. It marks in the session a command after which the session is
	// the first to be evicted.
	execute(b *Broker, now time.Duration, s *session)
}

// takeCommand executes a command, or queues it while its session waits for an answer.
func (b *Broker) takeCommand(now time.Duration, c command) {
	s := b.sessions.byID[c.sender()]
	switch {
	case s == nil:
		b.answerAfterClose(now, c)
	case s.openRequest == nil:
		b.executeCommand(now, s, c)
	default:
		b.queueCommand(now, s, c)
	}
}

func (b *Broker) executeCommand(now time.Duration, s *session, c command) {
	s.evictFirst = false
	c.execute(b, now, s)
	switch {
	case s.openRequest != nil:
		s.markBusy()
	case b.sessions.byID[s.id] != s: // the command has closed it
	case s.evictFirst:
		b.sessions.markFirstToEvict(now, s)
	default:
		b.sessions.markIdle(now, s)
	}
}

func (c SubmitRequest) sender() Session  { return c.Session }
func (c Ping) sender() Session           { return c.Session }
func (c Kill) sender() Session           { return c.RequestedBy }
func (c ImmediateReply) sender() Session { return c.Session }

func (c SubmitRequest) execute(b *Broker, now time.Duration, s *session) {
	b.submit(now, s, c)
}

func (c Ping) execute(b *Broker, _ time.Duration, s *session) {
	if b.Ready() {
		b.reply(s.id, Reply{Kind: ReplyOK})
	} else {
		b.reply(s.id, Reply{Kind: ReplyNotReady, Text: notReadyText})
	}
}

func (c Kill) execute(b *Broker, now time.Duration, s *session) {
	target := b.sessions.byID[c.Target]
	if target == nil {
		b.reply(s.id, Reply{Kind: ReplyUnknownSession, Text: unknownSessionText})
		return
	}
	b.reply(s.id, Reply{Kind: ReplyOK})
	target.killedAt = max(target.killedAt, c.SentAt)
	if r := target.openRequest; r != nil {
		b.reply(target.id, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
		b.abandon(now, r, EndKilled)
		b.resumeSession(now, target.id)
	}
	if c.CloseConnection {
		b.closeSession(target.id, CloseKilled)
		b.endSession(now, target.id, EndKilled)
	}
}

func (c ImmediateReply) execute(b *Broker, _ time.Duration, s *session) {
	s.evictFirst = true
	b.reply(s.id, c.Reply)
}

// resumeAnsweredSessions executes the queued commands of the sessions that were answered in the call under
// way. This comes last in a call: a queued KILL may end a request for which the same batch of the decision
// module has an attempt to start, and the module would wait for the end of that attempt for ever.
func (b *Broker) resumeAnsweredSessions(now time.Duration) {
	for len(b.answeredSessions) > 0 {
		id := b.answeredSessions[0]
		b.answeredSessions = b.answeredSessions[1:]
		b.resumeSession(now, id)
	}
}

// resumeSession executes the queued commands of a session, up to the first that opens a request.
func (b *Broker) resumeSession(now time.Duration, id Session) {
	s := b.sessions.byID[id]
	if s == nil {
		return
	}
	s.openRequest = nil
	b.sessions.markIdle(now, s)
	for s.openRequest == nil && len(s.queuedCommands) > 0 {
		b.takeCommand(now, s.popQueued())
	}
}
