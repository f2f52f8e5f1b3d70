package broker

import "time"

// command is an event that is answered in the order of its session's commands.
type command interface {
	Event
	// sender returns the session that gets the reply.
	sender() Session
	// execute answers the command or opens its request. It sets session.evictFirst if the session is the first to be
	// evicted after the command.
	execute(b *Broker, now time.Duration, s *session)
}

// handleCommand executes a command, or queues it while its session waits for the reply to another one.
func (b *Broker) handleCommand(now time.Duration, command command) {
	session := b.sessions.byID[command.sender()]
	switch {
	case session == nil:
		b.answerAfterClose(now, command)
	case !session.awaitsReply():
		b.executeCommand(now, session, command)
	default:
		b.queueCommand(now, session, command)
	}
}

func (b *Broker) executeCommand(now time.Duration, session *session, command command) {
	session.evictFirst = false
	command.execute(b, now, session)
	switch {
	case session.awaitsReply():
		session.markBusy()
	case b.sessions.byID[session.id] != session: // the command closed the session
	case session.evictFirst:
		b.sessions.markFirstToEvict(now, session)
	default:
		b.sessions.markIdle(now, session)
	}
}

func (c SubmitRequest) sender() Session  { return c.Session }
func (c Ping) sender() Session           { return c.Session }
func (c Kill) sender() Session           { return c.RequestedBy }
func (c ImmediateReply) sender() Session { return c.Session }

func (c SubmitRequest) execute(b *Broker, now time.Duration, session *session) {
	b.submit(now, session, c)
}

func (c Ping) execute(b *Broker, _ time.Duration, session *session) {
	if b.Ready() {
		b.reply(session.id, Reply{Kind: ReplyOK})
	} else {
		b.reply(session.id, Reply{Kind: ReplyNotReady, Text: notReadyText})
	}
}

func (c ImmediateReply) execute(b *Broker, _ time.Duration, session *session) {
	session.evictFirst = true
	b.reply(session.id, c.Reply)
}

// resumeAnsweredSessions executes the queued commands of the sessions answered in the current call. It must run last in
// a call: a queued KILL may end a request for which the same batch of the decision module is about to start an attempt,
// and the module would wait forever for the end of that attempt.
func (b *Broker) resumeAnsweredSessions(now time.Duration) {
	for id, ok := b.answeredSessions.Pop(); ok; id, ok = b.answeredSessions.Pop() {
		b.resumeSession(now, id)
	}
}

// resumeSession executes the queued commands of a session up to the first one whose reply must be awaited.
func (b *Broker) resumeSession(now time.Duration, id Session) {
	session := b.sessions.byID[id]
	if session == nil {
		return
	}
	session.openRequest = nil
	b.sessions.markIdle(now, session)
	for !session.awaitsReply() && session.queuedCommands.Len() > 0 {
		b.handleCommand(now, b.popQueued(session))
	}
	if b.sessions.byID[id] == session { // a queued command may have closed it
		b.closeIfAnswered(now, session)
	}
}
