package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/socktest"
)

const largeStatementBytes = 2 * memorybudget.SmallMessageBytes

// orderedStatement returns a request of one order key.
func orderedStatement(number, bytes int) []byte {
	fields := fmt.Sprintf("service=load,ref=%016x,allow=8000,lookup=00000000000000aa", number)
	return packetBytes(0, "\x03/* "+fields+" */ INSERT INTO s_1.t VALUES "+strings.Repeat("x", bytes))
}

// submitted returns the ids of the requests that reached the reducer, in order.
func (h *fakeHost) submitted() (ids []string) {
	for _, event := range h.events {
		if submit, ok := event.(broker.SubmitRequest); ok {
			ids = append(ids, submit.Request.RequestID)
		}
	}
	return ids
}

// expectInOrder fails the test unless requests 1 and 2 reached the reducer in this order.
func (h *fakeHost) expectInOrder(t *testing.T) {
	t.Helper()
	h.runUntil(t, "both requests are submitted", func() bool { return len(h.submitted()) == 2 })
	if ids := h.submitted(); ids[0] != fmt.Sprintf("%016x", 1) {
		t.Errorf("submitted in the order %v", ids)
	}
}

// waitBetweenRequests waits until the next request of a key may follow that of a client: by the protocol 60 ms lie
// between them, far more than the resolution of the system's times of arrival.
func waitBetweenRequests(t *testing.T, c *client) {
	t.Helper()
	const between = 60 * time.Millisecond
	socktest.WaitUntil(t, "time passes", func() bool {
		return c.frontend.sinceReceived(c.conn.Socket()) >= between
	})
}

// A large request that had arrived waited for the memory of messages that never end, and a small one of its key that
// came later ran first.
func TestRequestDoesNotPassEarlierOneOfItsKeyThatWaitsForMemory(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	f.LimitMemory(messageCopies*2*largeStatementBytes, 0)
	stalled, _ := newTestClient(t, f)
	f.input.request(stalled, messageCopies*2*largeStatementBytes)
	f.input.setPaused(true) // so that the first one waits until the second one has arrived
	first, firstFar := serveClient(t, f)
	second, secondFar := serveClient(t, f)
	send(t, firstFar, orderedStatement(1, largeStatementBytes))
	host.runUntil(t, "the first one waits", func() bool { return f.MemoryUse().Waiting == 1 })
	waitBetweenRequests(t, first)
	send(t, secondFar, orderedStatement(2, 0))
	host.runUntil(t, "the second one is read", func() bool { return second.handling.Load() })
	if ids := host.submitted(); len(ids) > 0 {
		t.Errorf("%v was submitted while the first one waited", ids)
	}
	f.input.setPaused(false)
	host.expectInOrder(t)
}

// The same while the first one waits until another client's large command is handled. A request without an order key
// does not wait.
func TestRequestDoesNotPassEarlierOneOfItsKeyThatWaitsForItsTurn(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	f.LimitMemory(1<<20, 0)
	other, _ := newTestClient(t, f)
	holdTurn(other)
	first, firstFar := serveClient(t, f)
	second, secondFar := serveClient(t, f)
	_, unorderedFar := serveClient(t, f)
	send(t, firstFar, orderedStatement(1, largeStatementBytes))
	host.runUntil(t, "the first one waits", func() bool { return f.turns.knows(first) })
	waitBetweenRequests(t, first)
	send(t, secondFar, orderedStatement(2, 0))
	host.runUntil(t, "the second one is read", func() bool { return second.handling.Load() })
	send(t, unorderedFar, packetBytes(0, "\x0e"))
	host.runUntil(t, "a command without a key is handled", func() bool {
		_, isPing := host.events[len(host.events)-1].(broker.Ping)
		return isPing
	})
	if ids := host.submitted(); len(ids) > 0 {
		t.Errorf("%v was submitted while an earlier one waited", ids)
	}
	f.turns.release(other)
	host.expectInOrder(t)
}

// A complete message waited for up to a second behind messages that never end.
func TestCompleteMessageDoesNotWaitBehindIncompleteOnes(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	capacity := messageCopies * 2 * largeStatementBytes
	f.LimitMemory(capacity, 0)
	stalled, _ := newTestClient(t, f)
	f.input.request(stalled, capacity)
	queued, _ := newTestClient(t, f)
	f.input.request(queued, capacity)
	_, far := serveClient(t, f)
	send(t, far, orderedStatement(1, largeStatementBytes))
	host.runUntil(t, "the message is handled", func() bool { return len(host.submitted()) == 1 })
	host.runUntil(t, "its memory is released", func() bool { return f.MemoryUse().InputBytes == capacity })
	if waiting := f.MemoryUse().Waiting; waiting != 1 {
		t.Errorf("%d clients wait, want the one with an incomplete message", waiting)
	}
}

// Messages get their turn in the order in which they arrived, whichever was registered first.
func TestTurnsFollowArrival(t *testing.T) {
	f := newTestFrontend(nil, newFakeHost(), 0)
	clients := make([]*client, 4)
	for i := range clients {
		clients[i], _ = newTestClient(t, f)
	}
	holdTurn(clients[0])
	for _, late := range []int{3, 1, 2} {
		f.turns.begin(clients[late], 0)
		f.turns.arrive(clients[late], time.Duration(late))
	}
	for i := 1; i < len(clients); i++ {
		f.turns.release(clients[i-1])
		select {
		case <-clients[i].turnGranted:
		default:
			t.Fatalf("client %d does not have its turn", i)
		}
	}
}

// A message with 0.4 s left was rejected after a second of waiting for memory.
func TestMessageWaitsNoLongerThanItsClient(t *testing.T) {
	for statement, want := range map[string]time.Duration{
		"\x03/* service=a,ref=0000000000000001,allow=400 */ SELECT":  400 * time.Millisecond,
		"\x03/* service=a,ref=0000000000000001,allow=8000 */ SELECT": defaultTurnDelay,
		"\x03/* service=a": defaultTurnDelay,
		"\x0e":             defaultTurnDelay,
		"":                 defaultTurnDelay,
	} {
		if got := maxTurnDelay(packetBytes(0, statement)); got != want {
			t.Errorf("%q may wait for %v, want %v", statement, got, want)
		}
	}
}

// knows reports whether a client's large message is registered as arrived.
func (t *messageTurns) knows(c *client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	message := t.messages[c]
	return message != nil && message.arrived
}
