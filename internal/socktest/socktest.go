// Package socktest helps tests that use sockets on loopback, and goroutines that serve them. Tests alone import it.
package socktest

import (
	"context"
	"net"
	"runtime"
	"time"
)

// Timeout is how long a test waits for anything; a test that waits so long has failed.
const Timeout = 20 * time.Second

// TestingT is what the helpers need of a test.
type TestingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
	Context() context.Context
}

// Receive takes from a channel, or fails the test after Timeout.
func Receive[Value any](t TestingT, from <-chan Value, what string) Value {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(Timeout):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// WaitUntil waits for a condition, or fails the test after Timeout.
func WaitUntil(t TestingT, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never so: %s", what)
		}
	}
}

// Listen returns a listener that is closed as the test ends.
func Listen(t TestingT) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// Dial returns a connection that is closed as the test ends.
func Dial(t TestingT, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn.(*net.TCPConn)
}

// Pair returns both ends of a connection, which are closed as the test ends.
func Pair(t TestingT) (near, far *net.TCPConn) {
	t.Helper()
	listener := Listen(t)
	near = Dial(t, listener.Addr().String())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() }) // the test may have closed it
	_ = listener.Close()                       // both ends are connected
	return near, accepted.(*net.TCPConn)
}

// Serve calls serve with each connection to a listener and its number, one after the other, until the listener is
// closed. Connections are closed as the test ends.
func Serve(t TestingT, listener net.Listener, serve func(number int, conn net.Conn)) {
	t.Helper()
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // serve may have closed it
			serve(number, conn)
		}
	}()
}
