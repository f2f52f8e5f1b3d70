package socktest

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

func TestPairIsConnected(t *testing.T) {
	t.Parallel()
	near, far := Pair(t)
	if _, err := near.Write([]byte("bytes")); err != nil {
		t.Fatal(err)
	}
	if err := near.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(far)
	if err != nil || string(got) != "bytes" {
		t.Errorf("got %q, %v, want \"bytes\"", got, err)
	}
}

func TestServeNumbersConnections(t *testing.T) {
	t.Parallel()
	listener, numbers := Listen(t), make(chan int, 2)
	Serve(t, listener, func(number int, _ net.Conn) { numbers <- number })
	for want := range 2 {
		Dial(t, listener.Addr().String())
		if got := Receive(t, numbers, "a connection"); got != want {
			t.Errorf("got connection number %d, want %d", got, want)
		}
	}
}

// A reset is seen after a close with unread bytes, and only then.
func TestWaitUntilReset(t *testing.T) {
	near, far := Pair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitReadable(t, near)
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	WaitUntilReset(t, far)
}

// A close after all bytes were read resets nothing.
func TestOrderlyCloseIsNoReset(t *testing.T) {
	near, far := Pair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read error %v, want EOF", err)
	}
	raw, err := far.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if err := pendingError(int(fd)); err != nil {
			t.Errorf("pending error %v, want none", err)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// awaitReadable waits until bytes have arrived on a connection, without reading them.
func awaitReadable(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	}); err != nil {
		t.Fatal(err)
	}
}
