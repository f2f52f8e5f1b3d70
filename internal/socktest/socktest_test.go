package socktest

import (
	"io"
	"net"
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
