package netlisten_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/server/netlisten"
)

// Two processes can listen at one shared address, for connections and for datagrams.
func TestSharedAddress(t *testing.T) {
	shared := netlisten.ReusePortConfig(zap.NewNop())
	first, err := netlisten.TCP(t.Context(), shared, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, first)
	second, err := netlisten.TCP(t.Context(), shared, first.Addr().String())
	if err != nil {
		t.Fatalf("the second listener: %v", err)
	}
	closeAtEnd(t, second)
	datagrams, err := netlisten.UDP(t.Context(), shared, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, datagrams)
	more, err := netlisten.UDP(t.Context(), shared, datagrams.LocalAddr().String())
	if err != nil {
		t.Fatalf("the second socket of datagrams: %v", err)
	}
	closeAtEnd(t, more)
}

// An address that another process is about to leave is tried again until it is free.
func TestListenWaitsForTheAddress(t *testing.T) {
	first, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	attempted := make(chan struct{}, 100)
	config := net.ListenConfig{Control: notifyOf(attempted)}
	listening := make(chan error, 1)
	go func() {
		second, err := netlisten.TCP(t.Context(), config, first.Addr().String())
		if err == nil {
			err = second.Close()
		}
		listening <- err
	}()
	for range 2 { // the second attempt proves that the first one failed
		select {
		case <-attempted:
		case <-time.After(time.Minute):
			t.Fatal("no attempt to listen")
		}
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-listening; err != nil {
		t.Fatal(err)
	}
}

// notifyOf returns a hook that notifies of each attempt to listen.
func notifyOf(attempted chan<- struct{}) func(network, address string, c syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error {
		attempted <- struct{}{}
		return nil
	}
}

// closeAtEnd closes a socket as the test ends.
func closeAtEnd(t *testing.T, socket io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}
