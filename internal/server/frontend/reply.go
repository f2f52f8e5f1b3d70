package frontend

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/mysql"
	"wheatlane/internal/ring"
	"wheatlane/internal/server/netconn"
)

// errorCodes are the MySQL codes of the replies that are errors.
var errorCodes = map[broker.ReplyKind]mysql.ErrorCode{
	broker.ReplyRejected:        mysql.CodeUserLimitReached,
	broker.ReplyFailed:          mysql.CodeUnknownError,
	broker.ReplyInterrupted:     mysql.CodeQueryInterrupted,
	broker.ReplyNotReady:        mysql.CodeServerShutdown,
	broker.ReplyInvalidFields:   mysql.CodeWrongArguments,
	broker.ReplyUnknownCommand:  mysql.CodeUnknownCommand,
	broker.ReplyUnknownSession:  mysql.CodeNoSuchThread,
	broker.ReplyUnknownDatabase: mysql.CodeUnknownDatabase,
}

// closeReasons are the reason codes for which the reducer closes sessions.
var closeReasons = map[broker.CloseReason]netconn.Reason{
	broker.CloseKilled:          netconn.KilledByClient,
	broker.CloseEvictedIdle:     netconn.EvictedIdle,
	broker.CloseTooManySessions: netconn.TooManyConnections,
}

// Reply sends a reply to its client, if that is still connected. A client that doesn't read its answers is closed, and
// its session ends at once: what it asks from then on could not be answered.
func (f *Frontend) Reply(r broker.Reply) {
	c := f.clients[r.Session]
	if c == nil {
		return
	}
	if c.conn.ShutDownReason() != nil { // this side is shut down: the answer can't leave
		f.observer.Violated(invariant.AnswerBeforeClose, zap.Uint32("session", uint32(r.Session)))
		return
	}
	f.replyBuffer = appendReply(f.replyBuffer[:0], r)
	if _, err := c.conn.Write(f.replyBuffer); errors.Is(err, ring.ErrFull) {
		c.close(&netconn.EndError{Reason: netconn.BufferFull})
		f.events.Enqueue(broker.SessionClosed{Session: r.Session})
	}
}

// appendReply appends a reply as the MySQL protocol has it.
func appendReply(dst []byte, r broker.Reply) []byte {
	switch r.Kind {
	case broker.ReplyResult:
		return mysql.AppendResult(dst, mysql.ResponseSequence, r.Pages)
	case broker.ReplyOK:
		return mysql.AppendOK(dst, mysql.ResponseSequence)
	case broker.ReplyTooManySessions: // in place of the greeting
		return mysql.AppendError(dst, mysql.GreetingSequence, mysql.CodeTooManyConnections, r.Text)
	case broker.ReplyRejected, broker.ReplyFailed, broker.ReplyInterrupted, broker.ReplyNotReady,
		broker.ReplyInvalidFields, broker.ReplyUnknownCommand, broker.ReplyUnknownSession,
		broker.ReplyUnknownDatabase: // errors, see below
	}
	text := r.Text
	if ms := r.RetryAfter.Milliseconds(); ms > 0 {
		text = fmt.Sprintf("%s; cooldown=%d", text, ms)
	}
	return mysql.AppendError(dst, mysql.ResponseSequence, errorCodes[r.Kind], text)
}
