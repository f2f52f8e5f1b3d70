package frontend

import (
	"context"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/clock"
)

const (
	// defaultTurnDelay is the time for which a message that has arrived may wait for memory or for its turn. It is
	// shorter than the timeout of an incomplete message, which would close the connection without an answer.
	defaultTurnDelay = time.Second
	// maxLargeCommandPause limits the pause after a large command.
	maxLargeCommandPause = 5 * time.Millisecond
)

// maxTurnDelay returns the time for which a message that has arrived may wait for its turn, given its first bytes: no
// longer than its client waits for the answer.
func maxTurnDelay(message []byte) time.Duration {
	head := message[mysql.HeaderLen:min(len(message), memorybudget.SmallMessageBytes)]
	if len(head) == 0 || mysql.Command(head[0]) != mysql.ComQuery {
		return defaultTurnDelay
	}
	statement, err := mysql.ParseStatement(string(head[1:]))
	if err != nil { // it will be rejected when it is read, or its comment is longer
		return defaultTurnDelay
	}
	return min(defaultTurnDelay, statement.Timeout)
}

// handleLargeCommand handles large commands one at a time, in the order of their arrival, until the loop has applied
// them, and pauses after each for as long as it took. Large commands so get half of the time at most, however many
// clients send them, and the loop and the readers of small commands need not wait for hundreds that are parsed at once.
// A command whose turn does not come in time is rejected.
func (c *client) handleLargeCommand(
	ctx context.Context, command mysql.Command, payload []byte, sent sendTime,
) error {
	defer c.endTurn()
	inTime, err := c.awaitTurn(ctx, sent)
	if err != nil {
		return err
	}
	if !inTime {
		c.apply(ctx, c.immediateReply(broker.ReplyRejected, noInputMemoryText))
		return c.awaitApplied(ctx)
	}
	began := clock.Now()
	c.apply(ctx, c.parseCommand(command, string(payload[1:]), sent))
	err = c.awaitApplied(ctx)
	c.frontend.turns.leave(c)
	time.Sleep(min(clock.Now()-began, maxLargeCommandPause))
	return err
}

// awaitTurn waits until it is the turn of the message at the start of the receive buffer, or until it has waited for
// as long as it may.
func (c *client) awaitTurn(ctx context.Context, sent sendTime) (inTime bool, err error) {
	received := c.conn.Received
	c.frontend.turns.begin(c, c.received-int64(received.Len()-mysql.PacketLen(received.Bytes())))
	arrivedAt := c.frontend.turns.arrive(c, sent.sentAt)
	if c.hasTurn {
		return true, nil
	}
	select {
	case <-c.turnGranted: // without a timer in the usual case
		c.hasTurn = true
		return true, nil
	default:
	}
	limit := time.NewTimer(arrivedAt + maxTurnDelay(received.Bytes()) - clock.Now())
	defer limit.Stop()
	select {
	case <-c.turnGranted:
		c.hasTurn = true
		return true, nil
	case <-limit.C:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// endTurn ends the client's turn, if it has one, and the registration of its large message.
func (c *client) endTurn() {
	c.hasTurn = false
	c.frontend.turns.release(c)
}
