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
	session   Session
	requestID string
}

func (rejectedRequest) event() {}

func (c rejectedRequest) sender() Session { return c.session }

func (c rejectedRequest) execute(b *Broker, _ time.Duration, session *session) {
	b.reply(session.id, Reply{Kind: ReplyRejected, Text: tooManyQueuedText})
}

// queueCommand queues a command behind the open request of its session.
func (b *Broker) queueCommand(now time.Duration, session *session, command command) {
	if submit, ok := command.(SubmitRequest); ok {
		requestID := strings.Clone(submit.Request.RequestID)
		command = session.queueRequest(submit, requestID)
		if request := submit.Request; request.Timeout > 0 {
			due := clientdeadline.QueuedDeadline(submit.sendTimes())
			b.timers.Set(max(due, now), queuedRequestDue{session, requestID})
		}
	}
	session.queuedCommands = append(session.queuedCommands, command)
	if len(session.queuedCommands) > maxQueuedCommands {
		b.answerAllCommands(now, session, EndQueueOverflow)
		b.closeSession(session.id, CloseKilled)
		b.endSession(now, session.id, EndQueueOverflow)
	}
}

// queueRequest returns the command to queue for a request: the request, or a rejection beyond maxQueuedRequests.
func (s *session) queueRequest(submit SubmitRequest, requestID string) command {
	if s.queuedRequests < maxQueuedRequests {
		s.queuedRequests++
		return submit
	}
	return rejectedRequest{submit.Session, requestID}
}

// popQueued removes and returns the first queued command.
func (s *session) popQueued() command {
	next := s.queuedCommands[0]
	s.queuedCommands = s.queuedCommands[1:]
	if _, ok := next.(SubmitRequest); ok {
		s.queuedRequests--
	}
	return next
}

// answerAllCommands answers the open request of a session and all its queued commands, of which requests are rejected.
func (b *Broker) answerAllCommands(now time.Duration, session *session, cause EndCause) {
	if request := session.openRequest; request != nil {
		b.reply(session.id, request.finalAnswer(endCauseTexts[cause]))
		b.abandon(now, request, cause)
		session.openRequest = nil
	}
	for len(session.queuedCommands) > 0 {
		b.rejectOrExecute(now, session, session.popQueued(), endCauseTexts[cause])
	}
}

// rejectOrExecute rejects a request and executes any other command.
func (b *Broker) rejectOrExecute(now time.Duration, session *session, command command, text string) {
	if _, ok := command.(SubmitRequest); ok {
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: text})
		return
	}
	command.execute(b, now, session)
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
	queued := slices.ContainsFunc(session.queuedCommands, func(waiting command) bool {
		switch waiting := waiting.(type) {
		case SubmitRequest:
			return waiting.Request.RequestID == requestID
		case rejectedRequest:
			return waiting.requestID == requestID
		}
		return false
	})
	if !queued || b.sessions.byID[session.id] != session {
		return
	}
	if request := session.openRequest; request != nil {
		b.batch.add(control.ClientDisconnected{RequestID: request.moduleID})
		b.answer(now, request, request.finalAnswer(endCauseTexts[EndQueuedRequestDue]), EndQueuedRequestDue)
	}
	b.timers.Set(now+queuedDueRecheckInterval, queuedRequestDue{session, requestID})
}
