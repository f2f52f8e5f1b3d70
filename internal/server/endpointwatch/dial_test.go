package endpointwatch

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// maxBlindTime is the time that the protocol allows between an event of the change log and the last request that does
// not follow it.
const maxBlindTime = 500 * time.Millisecond

// fakeNetwork answers the attempts to connect as a test decides.
type fakeNetwork struct{ attempts chan fakeAttempt }

// fakeAttempt is an attempt to connect, which is pending until the test answers it or its context ends.
type fakeAttempt struct {
	ctx    context.Context
	answer chan dialResult
}

// newFakeNetwork returns a watcher and the network by which it connects.
func newFakeNetwork() (*Watcher, *recordingSink, *fakeNetwork) {
	n, sink := &fakeNetwork{attempts: make(chan fakeAttempt, 100)}, newRecordingSink()
	w := New(Config{Revision: 1}, sink)
	w.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		attempt := fakeAttempt{ctx: ctx, answer: make(chan dialResult, 1)}
		n.attempts <- attempt
		select {
		case result := <-attempt.answer:
			return result.socket, result.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return w, sink, n
}

// connectInBackground connects a watcher and returns a channel that receives the connection.
func connectInBackground(t *testing.T, w *Watcher) <-chan net.Conn {
	t.Helper()
	connected := make(chan net.Conn, 1)
	go func() {
		socket, _ := w.connect(t.Context(), "127.0.0.1:1") // without a connection the test fails by its timeout
		connected <- socket
	}()
	return connected
}

// After an outage in which connections never came up, brokers noticed the return of the change log up to 1.3 s late:
// they waited for an attempt whose SYN was lost. Others are made beside it, and the first one that comes up is used.
func TestPendingAttemptDelaysNoOther(t *testing.T) {
	for name, comesUp := range map[string]int{"a later attempt": 2, "a slow one, beside later ones": 0} {
		t.Run(name, func(t *testing.T) {
			w, _, network := newFakeNetwork()
			connected := connectInBackground(t, w)
			pending := make([]fakeAttempt, 3)
			for i := range pending {
				pending[i] = socktest.Receive(t, network.attempts, "an attempt beside those pending")
			}
			for i, attempt := range pending {
				if attempt.ctx.Err() != nil {
					t.Errorf("attempt %d was given up", i)
				}
			}
			socket, _ := socktest.Pair(t)
			pending[comesUp].answer <- dialResult{socket: socket}
			if got := socktest.Receive(t, connected, "the connection"); got != socket {
				t.Errorf("connected by %v, want the attempt that came up", got)
			}
			for _, attempt := range pending {
				socktest.Receive(t, attempt.ctx.Done(), "the end of the other attempts")
			}
		})
	}
}

// A connection that comes up after another one was chosen is closed.
func TestLateConnectionIsClosed(t *testing.T) {
	w, _, _ := newFakeNetwork()
	attempts := make(chan chan net.Conn, 100)
	w.dial = func(context.Context, string, string) (net.Conn, error) { // comes up though it is not needed
		attempt := make(chan net.Conn, 1)
		attempts <- attempt
		return <-attempt, nil
	}
	connected := connectInBackground(t, w)
	first := socktest.Receive(t, attempts, "an attempt")
	second := socktest.Receive(t, attempts, "another attempt")
	socket, _ := socktest.Pair(t)
	late, _ := socktest.Pair(t)
	first <- socket
	socktest.Receive(t, connected, "the connection")
	second <- late
	socktest.WaitUntil(t, "the late connection is closed", func() bool {
		return errors.Is(late.SetDeadline(time.Time{}), net.ErrClosed)
	})
}

// A change log that refuses connections is tried again and again.
func TestRefusedAttemptsAreRepeated(t *testing.T) {
	w, sink, network := newFakeNetwork()
	connected := connectInBackground(t, w)
	for range 6 {
		attempt := socktest.Receive(t, network.attempts, "an attempt")
		attempt.answer <- dialResult{err: syscall.ECONNREFUSED}
		if got := socktest.Receive(t, sink.ends, "the end"); got != netconn.ConnectFailed {
			t.Errorf("the attempt ended as %s", got)
		}
	}
	socket, _ := socktest.Pair(t)
	socktest.Receive(t, network.attempts, "an attempt").answer <- dialResult{socket: socket}
	if got := socktest.Receive(t, connected, "the connection"); got != socket {
		t.Errorf("connected by %v", got)
	}
}

// However the change log fails, the pauses until it is tried again leave time for a poll within maxBlindTime, differ
// from broker to broker, and bound the number of attempts.
func TestPausesBetweenAttempts(t *testing.T) {
	const maxPause = 3 * maxBlindTime / 5
	const maxPending = 5 // of the descriptors that are reserved
	delays := newPollBackoff()
	seen := map[time.Duration]bool{}
	for range 200 {
		dial := jittered(nextDialDelay)
		seen[dial] = true
		if dial > maxPause || delays.NextBackOff() > maxPause || dialTimeout/dial >= maxPending+1 {
			t.Fatalf("pauses of %v beside pending attempts, of %v after failures", dial, delays.NextBackOff())
		}
	}
	if len(seen) < 150 {
		t.Errorf("%d different pauses of 200", len(seen))
	}
}
