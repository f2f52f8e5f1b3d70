package frontend

import (
	"context"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// The session of a client that does not read its replies ends immediately for the reducer as well: requests that arrive
// while the connection ends could not be answered and must not be forwarded.
func TestSessionEndsWhenSendBufferIsFull(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	near, _ := socktest.Pair(t)
	c := &client{
		frontend: f, session: 7, conn: netconn.New(near, netconn.Options{MaxReceiveBytes: 10, MaxSendBytes: 10}),
	}
	f.clients[7] = c
	f.Reply(broker.Reply{Session: 7, Kind: broker.ReplyFailed, Text: "longer than the send queue"})
	if c.closeReason == nil || c.closeReason.Reason != netconn.BufferFull {
		t.Errorf("the connection ends with reason %v, want %s", c.closeReason, netconn.BufferFull)
	}
	want := []broker.Event{broker.SessionClosed{Session: 7}}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Errorf("events of the reducer: %s", diff)
	}
}

// Bytes that arrived during a process pause are read before a timeout that expired during the pause takes effect.
func TestBytesReceivedDuringProcessPauseAreRead(t *testing.T) {
	c, far := newTestClient(t, newTestFrontend(nil, newFakeHost(), 0))
	c.readDeadline = time.Now()
	if err := c.conn.SetReadDeadline(c.readDeadline); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write(loginPacket()); err != nil {
		t.Fatal(err)
	}
	for c.conn.Received.Len() == 0 {
		if _, err := c.receive(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// A reply on a connection that has been shut down violates an invariant, because it can't be sent. A reply to a client
// that has disconnected does not.
func TestReplyAfterShutdownIsViolation(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	c, far := newTestClient(t, f)
	_ = far.Close() // so that the connection does not linger
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.Quit})
	err := c.conn.Run(t.Context(), func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	if reason := netconn.ReasonOf(err); reason != netconn.Quit {
		t.Fatalf("the connection ended with reason %s, want %s", reason, netconn.Quit)
	}
	f.clients[7] = c
	f.Reply(broker.Reply{Session: 8, Kind: broker.ReplyOK})
	if len(host.violations) > 0 {
		t.Errorf("a reply to a disconnected client violates %v", host.violations)
	}
	f.Reply(broker.Reply{Session: 7, Kind: broker.ReplyOK})
	host.expectViolation(t, invariant.AnswerBeforeClose)
}

// Reading bytes from a connection that has been shut down violates an invariant, because they can't be answered.
func TestReadAfterShutdownIsViolation(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	socktest.WaitUntil(t, "bytes are read before the close", func() bool { return readAfterShutdown(t, f) })
	host.runOne(t, "the violation")
	host.expectViolation(t, invariant.NoReadAfterShutdown)
}

// readAfterShutdown reads a client's bytes after its connection has been shut down. It returns false if the socket was
// closed before the read.
func readAfterShutdown(t *testing.T, f *Frontend) (read bool) {
	t.Helper()
	c, far := newTestClient(t, f)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	c.conn.CloseAfterSent(&netconn.EndError{Reason: netconn.Quit})
	_ = c.conn.Run(t.Context(), func(ctx context.Context) error { // returns the reason above
		for c.conn.ShutDownReason() == nil {
			runtime.Gosched()
		}
		received, err := c.receive(ctx)
		read = received
		return err
	})
	return read
}

// Only the first reason to close a client's connection is recorded. A connection that was not greeted yet ends
// immediately.
func TestFirstCloseReasonIsRecorded(t *testing.T) {
	c, _ := newTestClient(t, newTestFrontend(nil, newFakeHost(), 0))
	c.close(&netconn.EndError{Reason: netconn.EvictedIdle})
	c.close(&netconn.EndError{Reason: netconn.Shutdown})
	err := c.conn.Run(t.Context(), c.read)
	if reason := netconn.ReasonOf(err); reason != netconn.EvictedIdle {
		t.Errorf("the connection ended with reason %s, want %s", reason, netconn.EvictedIdle)
	}
}

// A reader that is stopped while it sets its own deadline stops immediately.
func TestStopWhileReadTimeoutIsSet(t *testing.T) {
	host := newFakeHost()
	c, _ := newTestClient(t, newTestFrontend(nil, host, 0))
	close(c.admitted)
	c.close(&netconn.EndError{Reason: netconn.KilledByClient})
	ended := make(chan error, 1)
	go func() { ended <- c.conn.Run(t.Context(), c.read) }()
	host.runOne(t, "the end of the reads") // without the stop, after loginTimeout and with a different reason
	if reason := netconn.ReasonOf(socktest.Receive(t, ended, "the end")); reason != netconn.KilledByClient {
		t.Errorf("the connection ended with reason %s, want %s", reason, netconn.KilledByClient)
	}
}

// The request of a client that was evicted was closed unread, though it had come before: sessions closed 'made_room',
// one 284 ms after its request was sent.
func TestCommandsThatArrivedBeforeEvictionAreRead(t *testing.T) {
	host := newFakeHost()
	c, far := newTestClient(t, newTestFrontend(nil, host, 0))
	close(c.admitted)
	if _, err := far.Write(append(loginPacket(), packetBytes(0, "\x0e")...)); err != nil {
		t.Fatal(err)
	}
	c.close(&netconn.EndError{Reason: netconn.EvictedIdle})
	go func() { _ = c.conn.Run(t.Context(), c.read) }() // ends with the test
	host.runUntil(t, "the connection is shut down", func() bool { return c.conn.ShutDownReason() != nil })
	want := []broker.Event{broker.SessionAuthenticated{Session: c.session}, broker.Ping{Session: c.session}}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Error(diff)
	}
}

// On a connection without TCP_INFO, the last bytes count as received now.
func TestSinceReceivedWithoutTCP(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }() // no bytes are pending
	defer func() { _ = far.Close() }()
	if since := newTestFrontend(nil, newFakeHost(), 0).sinceReceived(near); since != 0 {
		t.Errorf("received %v ago, want 0", since)
	}
}

// The final reads of a client are complete only when a partially received message is complete.
func TestFinalReadsWaitForPartialMessage(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(socktest.Listen(t), host, 0)
	serve(t, f)
	socket := socktest.Dial(t, f.Addr().String())
	host.runUntil(t, "the client is open", func() bool { return f.ClientCount() == 1 })
	var c *client
	for _, c = range f.clients {
		f.Admit(c.session)
	}
	ping := packetBytes(0, "\x0e")
	if _, err := socket.Write(append(loginPacket(), ping[:2]...)); err != nil {
		t.Fatal(err)
	}
	host.runUntil(t, "a part of a message was read", c.messageBegun.Load)
	f.BeginFinalReads()
	host.runUntil(t, "the listener is closed", f.ListenerClosed)
	if f.AllRead() {
		t.Error("AllRead is true although a message is incomplete")
	}
	if _, err := socket.Write(ping[2:]); err != nil {
		t.Fatal(err)
	}
	host.runUntil(t, "all was read", f.AllRead)
	want := []broker.Event{
		broker.SessionOpened{Session: c.session},
		broker.SessionAuthenticated{Session: c.session},
		broker.Ping{Session: c.session},
	}
	if diff := cmp.Diff(want, host.events); diff != "" {
		t.Error(diff)
	}
}

// Each kind of reply is encoded as its MySQL packet.
func TestAppendReply(t *testing.T) {
	for name, tt := range map[string]struct {
		reply broker.Reply
		want  []byte
	}{
		"OK": {broker.Reply{Kind: broker.ReplyOK}, mysql.AppendOK(nil, 1)},
		"instead of the greeting": {
			broker.Reply{Kind: broker.ReplyTooManySessions, Text: "full"},
			mysql.AppendError(nil, 0, mysql.CodeTooManyConnections, "full"),
		},
		"rejected": {
			broker.Reply{Kind: broker.ReplyRejected, Text: "late"},
			mysql.AppendError(nil, 1, mysql.CodeUserLimitReached, "late"),
		},
		"rejected with retry delay": {
			broker.Reply{Kind: broker.ReplyRejected, Text: "late", RetryAfter: 250 * time.Millisecond},
			mysql.AppendError(nil, 1, mysql.CodeUserLimitReached, "late; cooldown=250"),
		},
		"failed": {
			broker.Reply{Kind: broker.ReplyFailed, Text: "no"}, mysql.AppendError(nil, 1, mysql.CodeUnknownError, "no"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, appendReply(nil, tt.reply)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A client closed its connection with much still unread, and its requests were sent on afterwards: a request that is
// read after its client has left is not forwarded.
func TestRequestReadAfterDepartureIsNotForwarded(t *testing.T) {
	const statement = "/* service=a,ref=0000000000000001,allow=1000 */ SELECT a FROM s_1.t"
	c, far := newTestClient(t, newTestFrontend(nil, newFakeHost(), 0))
	if _, forwarded := c.parseQuery(statement, sendTime{}).(broker.SubmitRequest); !forwarded {
		t.Fatal("a request of a connected client is not forwarded")
	}
	if _, err := far.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	socktest.WaitUntil(t, "a request is not forwarded", func() bool {
		reply, ok := c.parseQuery(statement, sendTime{}).(broker.ImmediateReply)
		return ok && reply.Reply.Kind == broker.ReplyRejected
	})
}

// Hundreds of clients with large commands kept the core from those with small ones, which got their answers late or
// never. While a large command is handled, others wait, and small ones are handled.
func TestSmallCommandsDoNotWaitForLargeOnes(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(nil, host, 0)
	f.LimitMemory(1<<20, 0)
	send := func(command []byte) {
		c, far := newTestClient(t, f)
		close(c.admitted)
		go func() { _ = c.conn.Run(t.Context(), c.read) }() // ends with the test
		if _, err := far.Write(append(loginPacket(), command...)); err != nil {
			t.Fatal(err)
		}
	}
	invalid := packetBytes(0, "\x03"+strings.Repeat("x", memorybudget.SmallMessageBytes))
	other, _ := newTestClient(t, f)
	holdTurn(other) // another one is handled
	send(invalid)
	send(packetBytes(0, "\x0e"))
	count := func(want broker.Event) (n int) {
		for _, event := range host.events {
			if reflect.TypeOf(event) == reflect.TypeOf(want) {
				n++
			}
		}
		return n
	}
	host.runUntil(t, "the small command is handled", func() bool { return count(broker.Ping{}) == 1 })
	if count(broker.ImmediateReply{}) > 0 {
		t.Error("a large command was handled beside another one")
	}
	f.turns.release(other)
	host.runUntil(t, "the large command is handled", func() bool { return count(broker.ImmediateReply{}) == 1 })
}
