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

// connect returns the error of a connect to the server.
func connect(t *testing.T, c *Carbon) error {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.Addr())
	if err != nil {
		return err
	}
	return conn.Close()
}

// A collector that is to be reachable is so from the start, and one that becomes unreachable is so at once:
// a test that goes on sees no other order. No run may depend on which goroutine comes first.
func TestReachabilityChangesAtOnce(t *testing.T) {
	for range 200 {
		checkReachability(t)
	}
}

func checkReachability(t *testing.T) {
	t.Helper()
	c := newTestCarbon(t, NewReconciler(nil))
	if err := connect(t, c); err != nil {
		t.Fatal("before it runs:", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	if err := connect(t, c); err != nil {
		t.Fatal("as it runs:", err)
	}
	c.SetMode(Unreachable)
	if err := connect(t, c); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal("unreachable:", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// modeChangingConn is a connection under which the mode changes while it is being read.
type modeChangingConn struct {
	net.Conn
	rest       io.Reader
	changeMode func()
	closed     bool
}

func (c *modeChangingConn) Read(p []byte) (int, error) {
	c.changeMode()
	if c.closed {
		return 0, net.ErrClosed
	}
	return io.ReadFull(c.rest, p)
}

func (c *modeChangingConn) Close() error {
	c.closed = true
	return nil
}

// A connection that is being read as the mode Truncating ends is not truncated any more, so what is written
// from then on comes completely.
func TestNothingIsTruncatedUnderAnotherMode(t *testing.T) {
	const (
		line  = "x 1 1\n" // truncateAfterBytes is inside of one
		lines = 3000
	)
	for mode, want := range map[Mode]int{Truncating: truncateAfterBytes / len(line), Serve: lines} {
		t.Run(string(mode), func(t *testing.T) {
			reconciler := NewReconciler(nil)
			c := newTestCarbon(t, reconciler)
			c.SetMode(Truncating)
			c.read(t.Context(), &modeChangingConn{
				rest: strings.NewReader(strings.Repeat(line, lines)), changeMode: func() { c.SetMode(mode) },
			})
			c.SetMode(Unreachable)
			if got := reconciler.Reconcile().Unknown["x"]; got != want {
				t.Errorf("%d lines came, want %d", got, want)
			}
		})
	}
}
