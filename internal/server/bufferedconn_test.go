package server

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Seen on paper: after a standstill of the process, bytes for a client that waited were dropped as stale and
// its request was lost. Only sends to engines may be too late to leave.
func TestOnlyEngineWritesExpire(t *testing.T) {
	for name, c := range map[string]struct {
		stale time.Duration
		want  Reason
	}{"client": {0, KilledByClient}, "engine": {maxEngineSendDelay, WriteTimeout}} {
		near, far := connectedPair(t)
		l := newBufferedConn(near, c.stale, 100, 100)
		if _, err := l.write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		l.writes[0].queuedAt = time.Now().Add(-time.Second)
		l.closeAfterSent(&endError{Reason: KilledByClient})
		go func() {
			io.Copy(io.Discard, far)
			far.Close()
		}()
		if got := reasonOf(l.writeLoop(t.Context())); got != c.want {
			t.Errorf("%s: ended as %s, want %s", name, got, c.want)
		}
	}
}

// blockingBytes is more than the system takes of a connection whose other side reads nothing.
const blockingBytes = 8 << 20

// newBlockedConn is a link with much put into it whose other side reads nothing, and the end of what drains it.
func newBlockedConn(t *testing.T) (l *bufferedConn, far *net.TCPConn, ended chan error) {
	t.Helper()
	near, far := connectedPair(t)
	near.SetWriteBuffer(64 << 10)
	far.SetReadBuffer(64 << 10)
	l = newBufferedConn(near, 0, 100, 2*blockingBytes)
	if _, err := l.write(make([]byte, blockingBytes)); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- l.writeLoop(t.Context()) }()
	return l, far, ended
}

// handedBytes is the number of bytes that may have left.
func handedBytes(l *bufferedConn) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handedBytes
}

// Guards against bytes that have left passing for ones that never did: of a write that blocks, exactly what the system
// took counts as left. (Before, all of a write under way did, so nothing of it could be taken back.)
func TestBytesTakenByTheSystemCountAsSent(t *testing.T) {
	l, far, ended := newBlockedConn(t)
	waitUntil(t, "a part has left", func() bool { left := handedBytes(l); return left > 0 && left < blockingBytes })
	l.socket.Close()
	receive(t, ended, "the end of the writes")
	left := l.withdrawAll()
	if got, _ := io.Copy(io.Discard, far); got > left || left == 0 || left >= blockingBytes {
		t.Fatalf("the other side got %d bytes of %d, of which %d count as left", got, blockingBytes, left)
	}
}

// What waits behind a write that blocks is taken back whole, and what is put after it leaves.
func TestWithdrawBehindBlockedWrite(t *testing.T) {
	l, far, _ := newBlockedConn(t)
	var at [3]int64
	for i, text := range []string{"one", "two", "six"} {
		at[i], _ = l.write([]byte(text))
	}
	waitUntil(t, "a part has left", func() bool { return handedBytes(l) > 0 })
	if l.withdraw(0) {
		t.Fatal("what has begun to leave was taken back")
	}
	// While a call is under way all that it was given counts as left; none is for long.
	waitUntil(t, "what waits is taken back", func() bool { return l.withdraw(at[1]) })
	if l.withdraw(at[1] + 1) {
		t.Fatal("what was never put was taken back")
	}
	done := make(chan struct{})
	l.afterSent(func() { close(done) })
	tail := make(chan string, 1)
	go func() {
		io.CopyN(io.Discard, far, blockingBytes)
		text := make([]byte, 6)
		io.ReadFull(far, text)
		tail <- string(text)
	}()
	if got := receive(t, tail, "the rest"); got != "onesix" {
		t.Fatalf("the other side got %q", got)
	}
	receive(t, done, "the mark behind what was taken back")
	if l.withdraw(at[2]) {
		t.Fatal("what has left was taken back")
	}
}

// A client's bytes that nobody has read yet don't turn the close into a reset, which could destroy its last answer.
func TestLastAnswerSurvivesUnreadBytes(t *testing.T) {
	near, far := connectedPair(t)
	if _, err := far.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	l := newBufferedConn(near, 0, 100, 100)
	l.write([]byte("last answer"))
	l.closeAfterSent(&endError{Reason: Shutdown})
	over := make(chan error, 1)
	go func() {
		over <- l.run(t.Context(), func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	}()
	if got, err := io.ReadAll(far); string(got) != "last answer" || err != nil {
		t.Fatalf("the client got %q and %v", got, err)
	}
	far.Close()
	if got := reasonOf(receive(t, over, "the end")); got != Shutdown {
		t.Fatalf("it ended as %s", got)
	}
}

// Every bound on late bytes follows the grace that the settings give.
func TestEngineSendDelayFollowsDrainGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0: maxEngineSendDelay, 200 * time.Millisecond: 160 * time.Millisecond, 500 * time.Millisecond: maxEngineSendDelay, 5 * time.Second: maxEngineSendDelay,
	} {
		if got := engineSendDelay(grace); got != want {
			t.Errorf("grace %v: %v, want %v", grace, got, want)
		}
	}
}
