package collector

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"wheatlane/internal/graphite"
)

func newTestCarbon(t *testing.T, reconciler *Reconciler) *Carbon {
	t.Helper()
	c, err := NewCarbon("127.0.0.1:0", graphite.PathFormat{Prefix: "w"}, false, reconciler)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// connect opens and closes a connection to the server, and returns the first error.
func connect(t *testing.T, c *Carbon) error {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.Addr())
	if err != nil {
		return err
	}
	return conn.Close()
}

// A collector is reachable as soon as NewCarbon returns and unreachable as soon as SetMode returns. If either depended
// on the scheduling of the goroutine in Run, tests that change the mode would be flaky.
func TestReachabilityChangesSynchronously(t *testing.T) {
	for range 200 {
		checkReachability(t)
	}
}

func checkReachability(t *testing.T) {
	t.Helper()
	c := newTestCarbon(t, NewReconciler(nil))
	if err := connect(t, c); err != nil {
		t.Fatal("connect before Run:", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	if err := connect(t, c); err != nil {
		t.Fatal("connect during Run:", err)
	}
	c.SetMode(Unreachable)
	if err := connect(t, c); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal("connect in mode Unreachable: want connection refused, got", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// modeChangingConn is a connection that changes the server's mode during each read.
type modeChangingConn struct {
	net.Conn
	unread     io.Reader
	changeMode func()
	closed     bool
}

func (c *modeChangingConn) Read(p []byte) (int, error) {
	c.changeMode()
	if c.closed {
		return 0, net.ErrClosed
	}
	return io.ReadFull(c.unread, p)
}

func (c *modeChangingConn) Close() error {
	c.closed = true
	return nil
}

// A connection must not be truncated once the mode is no longer Truncating, even if the mode changes during a read:
// lines written after the change must arrive complete.
func TestTruncationStopsWhenModeChangesDuringRead(t *testing.T) {
	const (
		line  = "x 1 1\n" // truncateAfterBytes falls inside a line
		lines = 3000
	)
	for mode, want := range map[Mode]int{Truncating: truncateAfterBytes / len(line), Serve: lines} {
		t.Run(string(mode), func(t *testing.T) {
			reconciler := NewReconciler(nil)
			c := newTestCarbon(t, reconciler)
			c.SetMode(Truncating)
			c.read(t.Context(), &modeChangingConn{
				unread: strings.NewReader(strings.Repeat(line, lines)), changeMode: func() { c.SetMode(mode) },
			})
			c.SetMode(Unreachable)
			if got := reconciler.Reconcile().Unknown["x"]; got != want {
				t.Errorf("received %d lines, want %d", got, want)
			}
		})
	}
}
