package frontend

import (
	"context"
	"fmt"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// departedText is the reply to a request that was read after its client had closed its side of the connection.
const departedText = "its client wrote that nothing more comes"

// handleCommand passes one command to the reducer, which answers the commands of a session in order.
func (c *client) handleCommand(ctx context.Context, packet mysql.Packet, sent sendTime) error {
	payload := packet.Payload
	if packet.Sequence != mysql.CommandSequence {
		return c.failProtocol(ctx, packet.Sequence+1, mysql.CodePacketsOutOfOrder, mysql.ErrSequence)
	}
	if len(payload) == 0 {
		return c.failProtocol(ctx, mysql.ResponseSequence, mysql.CodeMalformedPacket, mysql.ErrMalformed)
	}
	command := mysql.Command(payload[0])
	if command == mysql.ComQuit {
		return c.endInput(ctx, &netconn.EndError{Reason: netconn.Quit}, nil)
	}
	if len(payload) > memorybudget.SmallMessageBytes {
		return c.handleLargeCommand(ctx, command, payload, sent)
	}
	event := c.parseCommand(command, string(payload[1:]), sent)
	if submit, ok := event.(broker.SubmitRequest); ok && submit.Request.OrderKey != "" {
		// The key of a large message that arrived before is not known until it is read.
		if err := c.frontend.turns.awaitEarlier(ctx, c, sent.sentAt); err != nil {
			return err
		}
	}
	c.apply(ctx, event)
	return nil
}

// parseCommand translates a command into an event of the reducer.
func (c *client) parseCommand(command mysql.Command, text string, sent sendTime) broker.Event {
	switch command {
	case mysql.ComPing:
		return broker.Ping{Session: c.session}
	case mysql.ComQuery:
		return c.parseQuery(text, sent)
	case mysql.ComResetConnection:
		return c.immediateReply(broker.ReplyOK, "")
	case mysql.ComInitDB:
		if text != loginDatabase {
			unknown := fmt.Sprintf("unknown database %.40q", text)
			return c.immediateReply(broker.ReplyUnknownDatabase, unknown)
		}
		return c.immediateReply(broker.ReplyOK, "")
	case mysql.ComQuit: // handled by handleCommand
	}
	unknown := fmt.Sprintf("unknown command %d", byte(command))
	return c.immediateReply(broker.ReplyUnknownCommand, unknown)
}

// immediateReply returns the event of a command that the reducer answers with a given reply, in the order of the
// session's commands.
func (c *client) immediateReply(kind broker.ReplyKind, text string) broker.Event {
	return broker.ImmediateReply{Session: c.session, Reply: broker.Reply{Kind: kind, Text: text}}
}

// parseQuery translates a statement into an event of the reducer.
func (c *client) parseQuery(text string, sent sendTime) broker.Event {
	if kill, ok := mysql.ParseKill(text); ok {
		return broker.Kill{
			RequestedBy: c.session, Target: broker.Session(kill.ConnectionID), CloseConnection: kill.CloseConnection,
			SentAt: sent.sentAt,
		}
	}
	statement, err := mysql.ParseStatement(text)
	if err != nil {
		return c.immediateReply(broker.ReplyInvalidFields, err.Error())
	}
	if c.frontend.hasDeparted(c.conn.Socket()) { // it may still read: see handleHalfClose
		return c.immediateReply(broker.ReplyRejected, departedText)
	}
	statement.Detach(text)
	first := !c.hasSubmitted
	c.hasSubmitted = true
	return broker.SubmitRequest{Session: c.session, EarliestSentAt: sent.waitingSince, Request: broker.Request{
		RequestID:         statement.RequestID,
		Class:             statement.Class,
		Tenant:            statement.Tenant,
		IdempotencyKey:    statement.IdempotencyKey,
		OrderKey:          statement.OrderKey,
		DataSet:           statement.DataSet,
		EstimatedWork:     statement.EstimatedWork,
		EstimatedMemoryMB: statement.EstimatedMemoryMB,
		IsRetry:           statement.IsRetry,
		SentAt:            sent.sentAt,
		FirstOnConnection: first,
		Timeout:           statement.Timeout,
		Body:              statement.Text,
	}}
}
