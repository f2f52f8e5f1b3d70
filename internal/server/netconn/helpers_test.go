package netconn

import (
	"net"
	"runtime"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // a test that waits so long has failed

// receive takes from a channel, or fails.
func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// waitUntil waits for a condition, or fails.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never so: %s", what)
		}
	}
}

// connectedPair returns both ends of a connection on loopback.
func connectedPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // both ends are connected
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() }) // the test may have closed it
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() }) // the test may have closed it
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}
