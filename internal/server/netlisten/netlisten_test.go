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

// Two sockets with SO_REUSEPORT can listen on one address, for connections and for datagrams.
func TestReusePortSharesAddress(t *testing.T) {
	config := netlisten.ReusePortConfig(zap.NewNop())
	first, err := netlisten.TCP(t.Context(), config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, first)
	second, err := netlisten.TCP(t.Context(), config, first.Addr().String())
	if err != nil {
		t.Fatalf("second listener on the address: %v", err)
	}
	closeAtEnd(t, second)
	datagrams, err := netlisten.UDP(t.Context(), config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, datagrams)
	more, err := netlisten.UDP(t.Context(), config, datagrams.LocalAddr().String())
	if err != nil {
		t.Fatalf("second datagram socket on the address: %v", err)
	}
	closeAtEnd(t, more)
}

// Listening on an address that is in use is retried until the address is free.
func TestListenRetriesWhileAddressInUse(t *testing.T) {
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
	for range 2 { // the second attempt shows that the first one failed
		select {
		case <-attempted:
		case <-time.After(time.Minute):
			t.Fatal("no attempt to listen within a minute")
		}
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-listening; err != nil {
		t.Fatal(err)
	}
}

// notifyOf returns a Control hook that sends on attempted at each attempt to listen.
func notifyOf(attempted chan<- struct{}) func(network, address string, c syscall.RawConn) error {
	return func(string, string, syscall.RawConn) error {
		attempted <- struct{}{}
		return nil
	}
}

// closeAtEnd closes a socket at the end of the test.
func closeAtEnd(t *testing.T, socket io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}
