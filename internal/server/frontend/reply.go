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

// errorCodes maps the kinds of error replies to MySQL error codes.
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

// closeReasons maps the reducer's reasons for closing a session to reason codes of connections.
var closeReasons = map[broker.CloseReason]netconn.Reason{
	broker.CloseKilled:          netconn.KilledByClient,
	broker.CloseEvictedIdle:     netconn.EvictedIdle,
	broker.CloseTooManySessions: netconn.TooManyConnections,
	broker.CloseMessageTimeout:  netconn.ReadTimeout,
}

// Reply sends a reply to its client if the client is still connected. If the client doesn't read its replies and the
// send queue is full, the connection is closed, and the session ends immediately: later requests could not be answered.
func (f *Frontend) Reply(r broker.Reply) {
	c := f.clients[r.Session]
	if c == nil {
		return
	}
	if c.conn.ShutDownReason() != nil { // the write side is shut down: the reply can't be sent
		f.observer.Violated(invariant.AnswerBeforeClose, zap.Uint32("session", uint32(r.Session)))
		return
	}
	f.replyBuffer = appendReply(f.replyBuffer[:0], r)
	if _, err := c.conn.Write(f.replyBuffer); errors.Is(err, ring.ErrFull) {
		c.close(&netconn.EndError{Reason: netconn.BufferFull})
		f.events.Enqueue(broker.SessionClosed{Session: r.Session})
	}
	f.evictUnreadReplies()
}

// appendReply appends a reply, encoded for the MySQL protocol, to dst.
func appendReply(dst []byte, r broker.Reply) []byte {
	switch r.Kind {
	case broker.ReplyResult:
		return mysql.AppendResult(dst, mysql.ResponseSequence, r.Pages)
	case broker.ReplyOK:
		return mysql.AppendOK(dst, mysql.ResponseSequence)
	case broker.ReplyTooManySessions: // sent instead of the greeting
		return mysql.AppendError(dst, mysql.GreetingSequence, mysql.CodeTooManyConnections, r.Text)
	case broker.ReplyRejected, broker.ReplyFailed, broker.ReplyInterrupted, broker.ReplyNotReady,
		broker.ReplyInvalidFields, broker.ReplyUnknownCommand, broker.ReplyUnknownSession,
		broker.ReplyUnknownDatabase: // errors, encoded below
	}
	text := r.Text
	if ms := r.RetryAfter.Milliseconds(); ms > 0 {
		text = fmt.Sprintf("%s; cooldown=%d", text, ms)
	}
	return mysql.AppendError(dst, mysql.ResponseSequence, errorCodes[r.Kind], text)
}
