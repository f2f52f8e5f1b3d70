package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/mysql"
	"wheatlane/internal/socktest"
)

// failingListener fails a number of Accept calls before it accepts connections.
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

// Accepting continues after transient errors of the listener.
func TestAcceptContinuesAfterFailures(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(&failingListener{socktest.Listen(t).(*net.TCPListener), 3}, host, 0)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	socktest.Dial(t, f.Addr().String())
	socktest.Receive(t, host.inbox, "the client")
	cancel()
	if err := socktest.Receive(t, ended, "the end"); !errors.Is(err, context.Canceled) {
		t.Errorf("Serve returned %v, want context.Canceled", err)
	}
	if len(f.slots) > 0 {
		t.Errorf("%d slots are in use after Serve returned", len(f.slots))
	}
}

// The final reads of a listener restart after a transient error, and end when the listener closes.
func TestFinalReadsRestartAfterListenerFailure(t *testing.T) {
	host := newFakeHost()
	f := newTestFrontend(&failingListener{socktest.Listen(t).(*net.TCPListener), 3}, host, 0)
	f.BeginFinalReads()
	if err := f.Serve(t.Context()); err != nil {
		t.Errorf("Serve returned %v", err)
	}
	if f.ListenerClosed() {
		t.Error("ListenerClosed is true before the loop has registered all clients")
	}
	host.runOne(t, "the end of the final reads")
	if !f.ListenerClosed() {
		t.Error("ListenerClosed is false after the final reads")
	}
}

// A client that is rejected because there are too many connections receives the error and an orderly close, although it
// has already sent bytes that the broker does not read.
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
	received, err := io.ReadAll(far)
	want := mysql.AppendError(nil, 0, mysql.CodeTooManyConnections, "too many connections")
	if err != nil || !bytes.Equal(received, want) {
		t.Errorf("received %q, want %q; read error %v", received, want, err)
	}
	socktest.Receive(t, ended, "the end of the connection")
	socktest.WaitUntilReset(t, far) // the socket was closed with unread bytes
}

// When too many rejected connections are still open, the next one is closed immediately.
func TestRejectionWithoutSlotClosesImmediately(t *testing.T) {
	near, _ := socktest.Pair(t)
	ended := false
	newTestFrontend(nil, newFakeHost(), 0).reject(&errgroup.Group{}, near, func() { ended = true })
	if _, err := near.Write([]byte("x")); !ended || !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended: %v, want true; a write returned %v, want net.ErrClosed", ended, err)
	}
}
