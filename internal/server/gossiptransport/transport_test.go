package gossiptransport_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/control"
	"wheatlane/internal/gossip"
	"wheatlane/internal/server/gossiptransport"
)

// received is a call of GossipReceived.
type received struct {
	Broker  int
	Reports []control.GossipedLoad
}

type receiver chan received

func (r receiver) GossipReceived(_ context.Context, broker int, reports []control.GossipedLoad) {
	r <- received{broker, reports}
}

// Reports are received with the index of the broker that sent them. Datagrams from unknown addresses and malformed
// datagrams are dropped, and each kind is logged once.
func TestReceive(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	first, second := listenUDP(t), listenUDP(t)
	transport, err := gossiptransport.Listen(t.Context(), gossiptransport.Config{
		ListenAddr: "127.0.0.1:0", Log: zap.New(core),
		Brokers: []string{"127.0.0.1:1", first.LocalAddr().String()},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	notified, ended := make(receiver, 10), make(chan error, 1)
	go func() { ended <- transport.Run(ctx, notified) }()
	reports := []control.GossipedLoad{{Engine: control.GossipID("e1"), Load: 0.5, Age: time.Second}}
	datagram := gossip.Append(nil, reports)
	for range 2 { // the invalid datagrams arrive before the valid one
		send(t, second, transport.Addr(), datagram)
		send(t, first, transport.Addr(), []byte("GET / HTTP/1.1"))
	}
	send(t, first, transport.Addr(), datagram)
	if diff := cmp.Diff(received{1, reports}, <-notified); diff != "" {
		t.Error(diff)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v, want context.Canceled", err)
	}
	for _, message := range []string{"gossip datagram from an unknown address", "gossip datagram malformed"} {
		if n := logs.FilterMessage(message).Len(); n != 1 {
			t.Errorf("%q logged %d times, want once", message, n)
		}
	}
}

// Send sends a datagram to the broker with the given index, and nothing if no broker has that index.
func TestSend(t *testing.T) {
	other := listenUDP(t)
	transport, err := gossiptransport.Listen(t.Context(), gossiptransport.Config{
		ListenAddr: "127.0.0.1:0", Log: zap.NewNop(), Brokers: []string{other.LocalAddr().String()},
	})
	if err != nil {
		t.Fatal(err)
	}
	report := func(load float64) []control.GossipedLoad {
		return []control.GossipedLoad{{Engine: control.GossipID("e1"), Load: load}}
	}
	transport.Send(-1, report(0.5))
	transport.Send(1, report(1))
	transport.Send(0, report(1.5))
	if err := other.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, gossip.MaxBytes+1)
	size, _, err := other.ReadFrom(buf)
	if err != nil {
		t.Fatal(err)
	}
	got, err := gossip.Parse(buf[:size])
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(report(1.5), got); diff != "" {
		t.Error(diff)
	}
}

// The error for an invalid address names its entry in the peers setting.
func TestInvalidBrokerAddress(t *testing.T) {
	_, err := gossiptransport.Listen(t.Context(), gossiptransport.Config{
		ListenAddr: "127.0.0.1:0", Log: zap.NewNop(), Brokers: []string{"127.0.0.1:1", "nowhere"},
	})
	if err == nil || err.Error()[:len("peers[1]: ")] != "peers[1]: " {
		t.Errorf("error %v, want prefix %q", err, "peers[1]: ")
	}
}

func send(t *testing.T, from net.PacketConn, to net.Addr, datagram []byte) {
	t.Helper()
	if _, err := from.WriteTo(datagram, to); err != nil {
		t.Fatal(err)
	}
}

// listenUDP returns a socket on loopback that is closed at the end of the test.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // no datagrams are pending
	return conn
}
