package frontend

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// The memory of a large message was released while the receive buffer still held it, until the connection had ended.
func TestReceiveBufferIsFreeOnceItsMemoryIsReleased(t *testing.T) {
	const messageBytes = 30_000
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	f.LimitMemory(messageCopies*messageBytes*2, 0)
	c, far := newTestClient(t, f)
	close(c.admitted)
	go func() { _ = c.conn.Run(t.Context(), c.read) }() // ends with the test
	message := packetBytes(0, "\x03"+strings.Repeat("x", messageBytes))
	if _, err := far.Write(append(loginPacket(), message[:messageBytes/2]...)); err != nil {
		t.Fatal(err)
	}
	host.runUntil(t, "the message has memory", func() bool { return f.MemoryUse().InputBytes > 0 })
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	ended := len(host.events) + 1
	host.runUntil(t, "the client's input has ended", func() bool { return len(host.events) >= ended })
	if capacity := c.conn.Received.Cap(); capacity > memorybudget.SmallMessageBytes || f.MemoryUse().InputBytes > 0 {
		t.Errorf("the receive buffer has %d bytes, %d are accounted", capacity, f.MemoryUse().InputBytes)
	}
	socktest.WaitUntil(t, "the connection ends", func() bool { return c.conn.ShutDownReason() != nil })
}

// When a crowd left, its memory was granted to others of the crowd, which allocated buffers for messages whose rest
// would never come. A message that has come completely is still read.
func TestClientThatLeftWithinMessageGetsNoBuffer(t *testing.T) {
	const messageBytes = 30_000
	message := packetBytes(0, "\x03"+strings.Repeat("x", messageBytes))
	for name, c := range map[string]struct {
		sent []byte
		want netconn.Reason // empty: the buffer grows
	}{
		"incomplete": {message[:messageBytes/2], netconn.PeerClosed},
		"complete":   {message, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFrontend(nil, newFakeHost(), 0)
			f.LimitMemory(messageCopies*2*messageBytes, 0)
			client, far := newTestClient(t, f)
			if _, err := far.Write(c.sent); err != nil {
				t.Fatal(err)
			}
			_ = far.Close() // all bytes are sent
			socktest.WaitUntil(t, "the client has left", func() bool { return f.hasDeparted(client.conn.Socket()) })
			for client.conn.Received.Len() < memorybudget.SmallMessageBytes {
				if err := client.conn.ReadOnce(); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // the end of the connection is not awaited
			_, err := client.growBuffer(ctx, mysql.PacketLen(client.conn.Received.Bytes()))
			if grown := client.conn.Received.Cap() >= messageBytes; grown != (c.want == "") {
				t.Errorf("the buffer has %d bytes", client.conn.Received.Cap())
			}
			if got := reasonOrNone(err); got != c.want {
				t.Errorf("the input ended with reason %q, want %q", got, c.want)
			}
		})
	}
}

// A complete request that waited for memory was closed unanswered after 2 s, and one whose session was evicted at once.
// If its turn does not come in time it is rejected, and a command behind it is handled.
func TestCompleteMessageThatGetsNoMemoryIsRejected(t *testing.T) {
	message := packetBytes(0, "\x03"+strings.Repeat("x", 30_000))
	for name, evict := range map[string]bool{"waits for long": false, "is evicted": true} {
		t.Run(name, func(t *testing.T) {
			host := newFakeHost()
			f := newTestFrontend(nil, host, 0)
			f.LimitMemory(messageCopies*len(message), 0)
			holder, _ := newTestClient(t, f)
			f.input.request(holder, messageCopies*len(message)) // all memory is in use
			holdTurn(holder)
			c, far := newTestClient(t, f)
			close(c.admitted)
			go func() { _ = c.conn.Run(t.Context(), c.read) }() // ends with the test
			if _, err := far.Write(slices.Concat(loginPacket(), message, packetBytes(0, "\x0e"))); err != nil {
				t.Fatal(err)
			}
			host.runUntil(t, "the message waits for memory", func() bool { return f.MemoryUse().Waiting == 1 })
			if evict {
				c.close(&netconn.EndError{Reason: netconn.EvictedIdle})
			}
			want := []broker.Event{
				broker.SessionAuthenticated{Session: c.session},
				broker.ImmediateReply{
					Session: c.session, Reply: broker.Reply{Kind: broker.ReplyRejected, Text: noInputMemoryText},
				},
				broker.Ping{Session: c.session},
			}
			host.runUntil(t, "the commands are handled", func() bool { return len(host.events) >= len(want) })
			if diff := cmp.Diff(want, host.events); diff != "" {
				t.Error(diff)
			}
			if use := f.MemoryUse(); use.Waiting > 0 || use.InputBytes != messageCopies*len(message) {
				t.Errorf("memory in use afterwards: %+v", use)
			}
		})
	}
}

// reasonOrNone returns the reason of an error, empty for nil.
func reasonOrNone(err error) netconn.Reason {
	if err == nil {
		return ""
	}
	return netconn.ReasonOf(err)
}
