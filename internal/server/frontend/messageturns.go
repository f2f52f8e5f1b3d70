package frontend

import (
	"context"
	"sync"
	"time"
)

// messageTurns lets clients pass large messages to the loop one at a time, in the order in which their last bytes
// arrived. A message counts from when its reader finds it large until the loop has applied it, whether its reader is
// waiting for memory, reading it or waiting for its turn. It is safe for concurrent use.
type messageTurns struct {
	mu       sync.Mutex
	messages map[*client]*largeMessage
	holder   *client       // whose turn it is; nil: nobody's
	changed  chan struct{} // closed and replaced when a message no longer counts
}

// largeMessage is the message that a client is sending.
type largeMessage struct {
	end       int64 // position behind its last byte in all that the client sends
	arrived   bool  // completely, though it may not be read yet
	arrivedAt time.Duration
}

func newMessageTurns() *messageTurns {
	return &messageTurns{messages: map[*client]*largeMessage{}, changed: make(chan struct{})}
}

// begin registers the message that a client is sending, unless it is registered.
func (t *messageTurns) begin(c *client, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.messages[c] == nil {
		t.messages[c] = &largeMessage{end: end}
	}
}

// arrive records that a client's message has arrived, unless that is known, and returns the time of its arrival. The
// client gets its turn after the messages that arrived before.
func (t *messageTurns) arrive(c *client, at time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	message := t.messages[c]
	if !message.arrived {
		message.arrived, message.arrivedAt = true, at
	}
	t.grant()
	return message.arrivedAt
}

// leave ends the registration of a client's message: it was applied, rejected or given up.
func (t *messageTurns) leave(c *client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.messages[c] == nil {
		return
	}
	delete(t.messages, c)
	close(t.changed)
	t.changed = make(chan struct{})
}

// release ends the registration of a client's message and its turn.
func (t *messageTurns) release(c *client) {
	t.leave(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder != c {
		return
	}
	t.holder = nil
	select {
	case <-c.turnGranted: // not received yet
	default:
	}
	t.grant()
}

// grant gives the turn, if nobody has it, to the client whose message arrived first.
func (t *messageTurns) grant() {
	if t.holder != nil {
		return
	}
	t.findArrived()
	var first *largeMessage
	for c, message := range t.messages {
		if message.arrived && (first == nil || message.arrivedAt < first.arrivedAt) {
			first, t.holder = message, c
		}
	}
	if t.holder != nil {
		t.holder.turnGranted <- struct{}{} // has capacity: a client holds one turn at a time
	}
}

// findArrived asks the system which messages have arrived.
func (t *messageTurns) findArrived() {
	for c, message := range t.messages {
		if !message.arrived {
			message.arrivedAt, message.arrived = c.arrivalOf(message.end)
		}
	}
}

// awaitEarlier waits until no message of another client counts that arrived before a time.
func (t *messageTurns) awaitEarlier(ctx context.Context, c *client, at time.Duration) error {
	for {
		earlier, changed := t.hasEarlier(c, at)
		if !earlier {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasEarlier reports whether a message of another client counts that arrived before a time, and returns a channel that
// is closed when a message no longer counts.
func (t *messageTurns) hasEarlier(c *client, at time.Duration) (earlier bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findArrived()
	t.grant() // one that waits for memory learns so that it has arrived
	for other, message := range t.messages {
		if other != c && message.arrived && message.arrivedAt < at {
			return true, t.changed
		}
	}
	return false, t.changed
}
