package frontend

import (
	"context"
	"fmt"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// handleCommand hands one command to the reducer, which answers it in its turn.
func (c *client) handleCommand(ctx context.Context, seq byte, payload []byte, sent sendTime) error {
	if seq != 0 {
		return c.failProtocol(ctx, seq+1, mysql.CodeSequence, mysql.ErrSequence)
	}
	if len(payload) == 0 {
		return c.failProtocol(ctx, 1, mysql.CodeMalformed, mysql.ErrMalformed)
	}
	event, err := c.parseCommand(mysql.Command(payload[0]), string(payload[1:]), sent)
	if err != nil {
		return err
	}
	c.apply(ctx, event)
	return nil
}

// parseCommand translates a command into the reducer's event. The error ends the connection.
func (c *client) parseCommand(
	command mysql.Command, text string, sent sendTime,
) (broker.Event, error) {
	switch command {
	case mysql.Quit:
		return nil, &netconn.EndError{Reason: netconn.Quit}
	case mysql.Ping:
		return broker.Ping{Session: c.session}, nil
	case mysql.Query:
		return c.parseQuery(text, sent), nil
	case mysql.Reset:
		return c.immediateReply(broker.ReplyOK, ""), nil
	case mysql.InitDB:
		if text != loginDatabase {
			unknown := fmt.Sprintf("unknown database %.40q", text)
			return c.immediateReply(broker.ReplyUnknownDatabase, unknown), nil
		}
		return c.immediateReply(broker.ReplyOK, ""), nil
	}
	unknown := fmt.Sprintf("unknown command %d", byte(command))
	return c.immediateReply(broker.ReplyUnknownCommand, unknown), nil
}

// immediateReply is a command that the reducer answers with a given reply, in its turn.
func (c *client) immediateReply(kind broker.ReplyKind, text string) broker.Event {
	return broker.InvalidRequest{Session: c.session, Reply: broker.Reply{Kind: kind, Text: text}}
}

// parseQuery translates a statement.
func (c *client) parseQuery(text string, sent sendTime) broker.Event {
	if id, closeConnection, ok := mysql.ParseKill(text); ok {
		return broker.Kill{
			RequestedBy: c.session, Target: broker.Session(id), CloseConnection: closeConnection, SentAt: sent.sentAt,
		}
	}
	statement, err := mysql.ParseStatement(text)
	if err != nil {
		return c.immediateReply(broker.ReplyInvalidFields, err.Error())
	}
	first := !c.hasSubmitted
	c.hasSubmitted = true
	return broker.SubmitRequest{Session: c.session, WaitingSince: sent.waitingSince, Request: broker.Request{
		RequestID:         statement.RequestID,
		Class:             statement.Class,
		Tenant:            statement.Tenant,
		IdempotencyKey:    statement.IdempotencyKey,
		OrderKey:          statement.OrderKey,
		DataSet:           statement.DataSet,
		EstimatedWork:     time.Duration(statement.EstimatedWorkMS * float64(time.Millisecond)),
		EstimatedMemoryMB: statement.EstimatedMemoryMB,
		IsRetry:           statement.IsRetry,
		SentAt:            sent.sentAt,
		FirstOnConnection: first,
		Timeout:           time.Duration(statement.TimeoutMS) * time.Millisecond,
		Body:              statement.Text,
	}}
}
