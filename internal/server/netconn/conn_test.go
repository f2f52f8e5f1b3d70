package netconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"wheatlane/internal/socktest"
)

// After a standstill of the process, bytes for a client are still sent; only writes to engines expire.
func TestOnlyEngineWritesExpire(t *testing.T) {
	for name, tt := range map[string]struct {
		maxSendDelay time.Duration
		want         Reason
	}{
		"client": {0, KilledByClient},
		"engine": {400 * time.Millisecond, WriteTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := socktest.Pair(t)
			c := New(near, Options{MaxSendDelay: tt.maxSendDelay, MaxReceiveBytes: 100, MaxSendBytes: 100})
			if _, err := c.Write([]byte("late")); err != nil {
				t.Fatal(err)
			}
			c.writes[0].queuedAt = time.Now().Add(-time.Second)
			c.CloseAfterSent(&EndError{Reason: KilledByClient})
			go func() {
				_, _ = io.Copy(io.Discard, far) // until the connection ends
				_ = far.Close()                 // so that the other end needs not wait for it
			}()
			if got := ReasonOf(c.writeLoop(t.Context())); got != tt.want {
				t.Errorf("ended as %s, want %s", got, tt.want)
			}
		})
	}
}

const (
	// blockingBytes is more than the system takes of a connection whose other end reads nothing.
	blockingBytes    = 8 << 20
	socketBufferSize = 64 << 10
)

// newBlockedConn returns a connection with blockingBytes queued whose other end reads nothing, and the end
// of its write loop.
func newBlockedConn(t *testing.T) (c *Conn, far *net.TCPConn, ended chan error) {
	t.Helper()
	near, far := socktest.Pair(t)
	if err := near.SetWriteBuffer(socketBufferSize); err != nil {
		t.Fatal(err)
	}
	if err := far.SetReadBuffer(socketBufferSize); err != nil {
		t.Fatal(err)
	}
	c = New(near, Options{MaxReceiveBytes: 100, MaxSendBytes: 2 * blockingBytes})
	if _, err := c.Write(make([]byte, blockingBytes)); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- c.writeLoop(t.Context()) }()
	return c, far, ended
}

// handedBytes returns the number of bytes that may have left.
func handedBytes(c *Conn) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handedBytes
}

// Of a write that blocks, exactly the bytes that the system took count as sent: none that has left may
// count as never sent.
func TestBytesTakenByTheSystemCountAsSent(t *testing.T) {
	c, far, ended := newBlockedConn(t)
	socktest.WaitUntil(t, "a part has left", func() bool {
		sent := handedBytes(c)
		return sent > 0 && sent < blockingBytes
	})
	if err := c.socket.Close(); err != nil {
		t.Fatal(err)
	}
	if err := socktest.Receive(t, ended, "the end of the writes"); err == nil {
		t.Error("the writes ended without an error")
	}
	sent := c.WithdrawAll()
	received, err := io.Copy(io.Discard, far)
	if err != nil {
		t.Fatal(err)
	}
	if received > sent || sent == 0 || sent >= blockingBytes {
		t.Fatalf("the other end got %d bytes of %d, of which %d count as sent", received, blockingBytes, sent)
	}
}

// What waits behind a write that blocks can be withdrawn, and what is queued after it leaves.
func TestWithdrawBehindBlockedWrite(t *testing.T) {
	c, far, _ := newBlockedConn(t)
	var offsets [3]int64
	for i, text := range []string{"one", "two", "six"} {
		var err error
		if offsets[i], err = c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	socktest.WaitUntil(t, "a part has left", func() bool { return handedBytes(c) > 0 })
	if c.Withdraw(0) {
		t.Fatal("what has begun to leave was withdrawn")
	}
	// While a write is under way all that it was given counts as sent; none is under way for long.
	socktest.WaitUntil(t, "what waits is withdrawn", func() bool { return c.Withdraw(offsets[1]) })
	if c.Withdraw(offsets[1] + 1) {
		t.Fatal("what was never queued was withdrawn")
	}
	sent := make(chan struct{})
	c.AfterSent(func() { close(sent) })
	if got := readAfter(t, far, blockingBytes, len("onesix")); got != "onesix" {
		t.Fatalf("the other end got %q", got)
	}
	socktest.Receive(t, sent, "the hook behind what was withdrawn")
	if c.Withdraw(offsets[2]) {
		t.Fatal("what has left was withdrawn")
	}
}

// readAfter returns n bytes that come after others on a connection.
func readAfter(t *testing.T, conn net.Conn, skip int64, n int) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, conn, skip); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(conn, text); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Bytes of a client that nobody has read don't turn the close into a reset, which could destroy its last
// answer; also where its place is wanted.
func TestLastAnswerSurvivesUnreadBytes(t *testing.T) {
	for _, reason := range []Reason{Shutdown, EvictedIdle} {
		t.Run(string(reason), func(t *testing.T) { testLastAnswer(t, reason) })
	}
}

func testLastAnswer(t *testing.T, reason Reason) {
	t.Helper()
	near, far := socktest.Pair(t)
	if _, err := far.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	c := New(near, Options{MaxReceiveBytes: 100, MaxSendBytes: 100})
	if _, err := c.Write([]byte("last answer")); err != nil {
		t.Fatal(err)
	}
	c.CloseAfterSent(&EndError{Reason: reason})
	ended := make(chan error, 1)
	go func() {
		ended <- c.Run(t.Context(), func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}()
	if got, err := io.ReadAll(far); string(got) != "last answer" || err != nil {
		t.Fatalf("the client got %q and %v", got, err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	if got := ReasonOf(socktest.Receive(t, ended, "the end")); got != reason {
		t.Fatalf("ended as %s", got)
	}
}
