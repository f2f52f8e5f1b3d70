// Package socktest provides helpers for tests that use sockets on loopback and goroutines that serve them. Only tests
// import it.
package socktest

import (
	"context"
	"errors"
	"net"
	"runtime"
	"syscall"
	"time"
)

// Timeout is the time after which a test that waits for a result fails.
const Timeout = 20 * time.Second

// TestingT is the subset of testing.TB that the helpers use.
type TestingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
	Context() context.Context
}

// Receive receives a value from a channel, or fails the test after Timeout. what describes the value.
func Receive[Value any](t TestingT, values <-chan Value, what string) Value {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(Timeout):
		t.Fatalf("%s was not received within %v", what, Timeout)
		panic("unreachable")
	}
}

// WaitUntil polls until condition returns true, or fails the test after Timeout. what describes the condition.
func WaitUntil(t TestingT, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", Timeout, what)
		}
	}
}

// Listen returns a loopback listener that is closed at the end of the test.
func Listen(t TestingT) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// Dial returns a connection to addr that is closed at the end of the test.
func Dial(t TestingT, addr string) *net.TCPConn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn.(*net.TCPConn)
}

// Pair returns both ends of a connection, which are closed at the end of the test.
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

// WaitUntilReset waits until the peer has reset a connection, or fails the test after Timeout. It writes nothing: a
// peer that closes a socket resets the connection by itself only if bytes stayed unread there.
func WaitUntilReset(t TestingT, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	WaitUntil(t, "the peer has reset the connection", func() bool {
		reset := false
		if err := raw.Control(func(fd uintptr) {
			pending := pendingError(int(fd))
			reset = errors.Is(pending, syscall.ECONNRESET) || errors.Is(pending, syscall.EPIPE)
		}); err != nil {
			t.Fatal(err)
		}
		return reset
	})
}

// pendingError returns and clears the pending error of a socket, nil if there is none.
func pendingError(fd int) error {
	code, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
	if err != nil || code == 0 {
		return err
	}
	return syscall.Errno(code)
}

// Serve accepts connections until the listener is closed. It calls serve for one connection at a time, with the number
// of the connection, which counts from 0. Connections are closed at the end of the test.
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
