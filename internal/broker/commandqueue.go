package broker

import (
	"slices"
	"strings"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/clientdeadline"
)

// Clients may send commands before a request is answered. Each is answered in order: a session must not be closed with
// a command read but not answered.
const (
	// maxQueuedRequests is the maximum number of requests queued with their statements behind a session's open request.
	// Further requests are queued without their statements and rejected in order.
	maxQueuedRequests = 2
	// maxQueuedCommands is the maximum number of commands queued behind a session's open request. With one more, all
	// commands are answered immediately and the session is closed.
	maxQueuedCommands = 1024
	// queuedDueRecheckInterval is the time after which a queued request past its deadline is checked again, while the
	// requests ahead of it are answered.
	queuedDueRecheckInterval = 5 * time.Millisecond
)

// rejectedRequest is a queued request to be rejected in order. It has no Request, whose strings would retain the whole
// statement in memory.
type rejectedRequest struct {
	session Session
}

func (rejectedRequest) event() {}

func (c rejectedRequest) sender() Session { return c.session }

func (c rejectedRequest) execute(b *Broker, _ time.Duration, session *session) {
	b.reply(session.id, Reply{Kind: ReplyRejected, Text: tooManyQueuedText})
}

// queuedCommand is a command in a session's queue.
type queuedCommand struct {
	command

	requestID string      // of a request
	due       *eventTimer // when the request must be answered; nil: not limited
}

// queueCommand queues a command behind the open request of its session.
func (b *Broker) queueCommand(now time.Duration, session *session, command command) {
	queued := queuedCommand{command: command}
	if submit, ok := command.(SubmitRequest); ok {
		queued.requestID = strings.Clone(submit.Request.RequestID)
		queued.command = b.queuedRequest(session, submit)
		if submit.Request.Timeout > 0 {
			due := clientdeadline.QueuedDeadline(submit.sendTimes())
			queued.due = b.timers.Set(max(due, now), queuedRequestDue{session, queued.requestID})
		}
	}
	session.queuedCommands.Push(queued)
	count := session.queuedCommands.Len()
	admitted := b.memory.holdCommand(count)
	if !admitted || count > maxQueuedCommands {
		b.answerAllCommands(now, session, EndQueueOverflow)
		b.closeSession(session.id, CloseKilled)
		b.endSession(now, session.id, EndQueueOverflow)
	}
}

// queuedRequest returns the command to queue for a request: the request, or a rejection beyond maxQueuedRequests or
// beyond the memory of statements.
func (b *Broker) queuedRequest(session *session, submit SubmitRequest) command {
	if session.queuedRequests < maxQueuedRequests && b.memory.holdRequest(&submit.Request) {
		session.queuedRequests++
		return submit
	}
	return rejectedRequest{submit.Session}
}

// popQueued removes and returns the first queued command of a session, which must have one.
func (b *Broker) popQueued(session *session) command {
	next, _ := session.queuedCommands.Pop()
	if !session.hasQueuedRequest(next.requestID) { // else the timer applies to that one
		next.due.Clear()
	}
	if b.sessions.byID[session.id] == session { // else endSession has released it
		b.memory.releaseCommand(next.command)
	}
	if _, ok := next.command.(SubmitRequest); ok {
		session.queuedRequests--
	}
	return next.command
}

// hasQueuedRequest reports whether a request with an id is queued.
func (s *session) hasQueuedRequest(requestID string) bool {
	return slices.ContainsFunc(s.queuedCommands.Items(), func(queued queuedCommand) bool {
		return queued.due != nil && queued.requestID == requestID
	})
}

// answerAllCommands answers the open request of a session and all its queued commands, of which requests are rejected.
func (b *Broker) answerAllCommands(now time.Duration, session *session, cause EndCause) {
	if request := session.openRequest; request != nil {
		b.reply(session.id, request.finalAnswer(endCauseTexts[cause]))
		b.abandon(now, request, cause)
		session.openRequest = nil
	}
	b.stopAwaitingKill(session)
	for session.queuedCommands.Len() > 0 {
		b.rejectOrExecute(now, session, b.popQueued(session), endCauseTexts[cause])
	}
}

// rejectOrExecute rejects a request and executes any other command.
func (b *Broker) rejectOrExecute(now time.Duration, session *session, command command, text string) {
	if _, ok := command.(SubmitRequest); ok {
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: text})
		return
	}
	command.execute(b, now, session)
	b.stopAwaitingKill(session)
}

// answerAfterClose answers a command that was read before the broker closed its session; the answer is still sent.
// Commands of other unknown sessions are ignored, as their connections have ended.
func (b *Broker) answerAfterClose(now time.Duration, command command) {
	if id := command.sender(); b.sessions.closedByBroker[id] {
		b.rejectOrExecute(now, &session{id: id}, command, closedText)
	}
}

// handleQueuedDeadline handles the deadline of a request that is queued behind the open request of its session. It
// answers the open request immediately, as the queued one can be answered only after it.
func (b *Broker) handleQueuedDeadline(now time.Duration, session *session, requestID string) {
	queue := session.queuedCommands.Items()
	at := slices.IndexFunc(queue, func(queued queuedCommand) bool {
		return queued.due != nil && queued.requestID == requestID
	})
	if at < 0 || b.sessions.byID[session.id] != session {
		return
	}
	if request := session.openRequest; request != nil {
		b.batch.add(control.ClientDisconnected{RequestID: request.moduleID})
		b.answer(now, request, request.finalAnswer(endCauseTexts[EndQueuedRequestDue]), EndQueuedRequestDue)
	}
	queue[at].due = b.timers.Set(now+queuedDueRecheckInterval, queuedRequestDue{session, requestID})
}
