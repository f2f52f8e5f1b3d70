package broker

import (
	"slices"
	"strings"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/clientwait"
)

// Clients may write commands ahead of the answer to a request. Each is answered, in order: what was read must
// not be closed without an answer.
const (
	// maxQueuedRequests is the largest number of requests queued with their statements behind the open request
	// of a session. Those beyond it will be rejected in their turn.
	maxQueuedRequests = 2
	// maxQueuedCommands is the largest number of commands queued behind it. With one more, all are answered at
	// once and the session is closed.
	maxQueuedCommands = 1024
	// queueDueRetry is the time after which a queued request that is due is looked at again, while those ahead
	// of it are answered.
	queueDueRetry = 5 * time.Millisecond
)

// rejectedRequest is a request that is rejected in its turn. It holds nothing of its statement, of which the strings of
// a Request are parts.
type rejectedRequest struct {
	session   Session
	requestID string
}

func (rejectedRequest) event() {}

func (c rejectedRequest) sender() Session { return c.session }

func (c rejectedRequest) execute(b *Broker, _ time.Duration, s *session) {
	b.reply(s.id, Reply{Kind: ReplyRejected, Text: tooManyQueuedText})
}

// queueCommand queues a command behind the open request of its session.
func (b *Broker) queueCommand(now time.Duration, s *session, c command) {
	if submit, ok := c.(SubmitRequest); ok {
		requestID := strings.Clone(submit.Request.RequestID)
		c = s.queueRequest(submit, requestID)
		if r := submit.Request; r.Timeout > 0 {
			due := clientwait.QueuedDeadline(submit.wait())
			b.timers.Set(max(due, now), queuedRequestDue{s, requestID})
		}
	}
	s.queuedCommands = append(s.queuedCommands, c)
	if len(s.queuedCommands) > maxQueuedCommands {
		b.answerAllQueued(now, s, EndQueueOverflow)
		b.closeSession(s.id, CloseKilled)
		b.endSession(now, s.id, EndQueueOverflow)
	}
}

// queueRequest returns the command to queue for a request: beyond maxQueuedRequests one that rejects it.
func (s *session) queueRequest(submit SubmitRequest, requestID string) command {
	if s.queuedRequests < maxQueuedRequests {
		s.queuedRequests++
		return submit
	}
	return rejectedRequest{submit.Session, requestID}
}

// popQueued removes the first queued command.
func (s *session) popQueued() command {
	next := s.queuedCommands[0]
	s.queuedCommands = s.queuedCommands[1:]
	if _, ok := next.(SubmitRequest); ok {
		s.queuedRequests--
	}
	return next
}

// answerAllQueued answers the open request of a session and all its queued commands. Queued requests are rejected.
func (b *Broker) answerAllQueued(now time.Duration, s *session, cause EndCause) {
	if r := s.openRequest; r != nil {
		b.reply(s.id, r.finalAnswer(endCauseTexts[cause]))
		b.abandon(now, r, cause)
		s.openRequest = nil
	}
	for len(s.queuedCommands) > 0 {
		b.rejectOrExecute(now, s, s.popQueued(), endCauseTexts[cause])
	}
}

// rejectOrExecute rejects a request and executes any other command.
func (b *Broker) rejectOrExecute(now time.Duration, s *session, c command, text string) {
	if _, ok := c.(SubmitRequest); ok {
		b.reply(s.id, Reply{Kind: ReplyRejected, Text: text})
		return
	}
	c.execute(b, now, s)
}

// answerAfterClose answers a command of a session that was closed from this side after it had been read: its
// answer still leaves. Commands of other unknown sessions are ignored: their connections have ended.
func (b *Broker) answerAfterClose(now time.Duration, c command) {
	if id := c.sender(); b.sessions.closedHere[id] {
		b.rejectOrExecute(now, &session{id: id}, c, closedText)
	}
}

// requestDue answers the open request of a session early, as the time of one that is queued behind it is over:
// that one can be answered only after it.
func (b *Broker) requestDue(now time.Duration, s *session, requestID string) {
	queued := slices.ContainsFunc(s.queuedCommands, func(c command) bool {
		switch c := c.(type) {
		case SubmitRequest:
			return c.Request.RequestID == requestID
		case rejectedRequest:
			return c.requestID == requestID
		}
		return false
	})
	if !queued || b.sessions.byID[s.id] != s {
		return
	}
	if r := s.openRequest; r != nil {
		b.batch.add(control.ClientDisconnected{RequestID: r.moduleID})
		b.answer(now, r, r.finalAnswer(endCauseTexts[EndQueuedRequestDue]), EndQueuedRequestDue)
	}
	b.timers.Set(now+queueDueRetry, queuedRequestDue{s, requestID})
}
