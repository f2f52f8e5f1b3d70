package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/mysql"
	"wheatlane/internal/socktest"
)

// failingListener fails some calls ahead of those that its listener answers.
type failingListener struct {
	*net.TCPListener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("no descriptors")
	}
	return l.TCPListener.Accept()
}

// A listener that fails for a moment goes on to accept.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(&failingListener{socktest.Listen(t).(*net.TCPListener), 3}, host, 0)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	socktest.Dial(t, f.Addr().String())
	socktest.Receive(t, host.inbox, "the client")
	cancel()
	if err := socktest.Receive(t, ended, "the end"); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if len(f.slots) > 0 {
		t.Errorf("%d slots are taken at the end", len(f.slots))
	}
}

// The final reads of a listener that fails for a moment begin anew, and end with its close.
func TestFinalReadsOfAFailingListener(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(&failingListener{socktest.Listen(t).(*net.TCPListener), 3}, host, 0)
	f.BeginFinalReads()
	if err := f.Serve(t.Context()); err != nil {
		t.Errorf("ended with %v", err)
	}
	if f.ListenerClosed() {
		t.Error("the listener is closed before the loop knows of all its clients")
	}
	host.runOne(t, "the end of the final reads")
	if !f.ListenerClosed() {
		t.Error("the listener is not closed")
	}
}

// A client that is rejected for want of sockets gets its answer and an orderly end, though it has written
// already and nobody has read that.
func TestRejectionSurvivesUnreadBytes(t *testing.T) {
	near, far := socktest.Pair(t)
	if _, err := far.Write(append(loginPacket(), packetBytes(0, "\x03SELECT 1")...)); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	newTestFrontend(nil, newFakeHost(), 1).reject(&errgroup.Group{}, near, func() { close(ended) })
	if err := far.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(far)
	want := mysql.AppendError(nil, 0, mysql.CodeTooManyConnections, "too many connections")
	if err != nil || !bytes.Equal(answer, want) {
		t.Errorf("answered %q, want %q; ended with %v", answer, want, err)
	}
	socktest.Receive(t, ended, "the end of the connection")
	// It was closed over bytes that nobody had read: the connection was reset, so that it takes no more.
	if _, err := far.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("the connection takes bytes: %v", err)
	}
}

// With too many rejected clients that have not read their answers, the next one is closed at once.
func TestRejectionWithoutASlotClosesAtOnce(t *testing.T) {
	near, _ := socktest.Pair(t)
	ended := false
	newTestFrontend(nil, newFakeHost(), 0).reject(&errgroup.Group{}, near, func() { ended = true })
	if _, err := near.Write([]byte("x")); !ended || !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended %v, a write gives %v", ended, err)
	}
}
