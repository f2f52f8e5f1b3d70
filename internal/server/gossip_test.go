package server

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/config"
	"wheatlane/internal/gossip"
)

// withBrokers enables gossip in a fleet of 40 brokers. The other brokers share one address.
func withBrokers(other net.Addr) func(*config.Config) {
	return func(c *config.Config) {
		c.PeerListen = "127.0.0.1:0"
		c.Settings.Control.Limits.Gossip = true
		c.Settings.Control.Brokers = 40
		for range c.Settings.Control.Brokers {
			c.Peers = append(c.Peers, other.String())
		}
	}
}

// A broker forwards load reports that it received from another broker. It drops datagrams that are malformed or come
// from an unknown address, and logs each kind once.
func TestGossipForwardsReportsAndDropsInvalidDatagrams(t *testing.T) {
	other, unknown := listenUDP(t), listenUDP(t)
	s := startServerWith(t, serverOptions{configure: withBrokers(other.LocalAddr())},
		endpointJSON("e1", "127.0.0.1:1", "in_service", 0))
	brokerAddr := s.server.gossip.Addr()
	send := func(from net.PacketConn, datagram []byte) {
		if _, err := from.WriteTo(datagram, brokerAddr); err != nil {
			t.Fatal(err)
		}
	}
	report := func(load float64, age time.Duration) []byte {
		return gossip.Append(nil, []control.GossipedLoad{{Engine: control.GossipID("e1"), Load: load, Age: age}})
	}
	for range 3 { // received before the valid report, as the socket preserves the order
		send(unknown, report(2.5, 0))
		send(other, []byte("GET / HTTP/1.1"))
	}
	send(other, report(0.5, time.Second))
	got := receiveGossip(t, other)
	if len(got) != 1 || got[0].Age < time.Second {
		t.Fatalf("forwarded %+v, want one report at least 1s old", got)
	}
	got[0].Age = 0
	if diff := cmp.Diff([]control.GossipedLoad{{Engine: control.GossipID("e1"), Load: 0.5}}, got); diff != "" {
		t.Fatal(diff)
	}
	for _, message := range []string{"gossip datagram from an unknown address", "gossip datagram malformed"} {
		if n := s.logs.FilterMessage(message).Len(); n != 1 {
			t.Errorf("%q logged %d times, want once", message, n)
		}
	}
}

// receiveGossip returns the reports in the next datagram.
func receiveGossip(t *testing.T, conn net.PacketConn) []control.GossipedLoad {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, gossip.MaxBytes+1)
	size, _, err := conn.ReadFrom(buf)
	if err != nil {
		t.Fatal(err)
	}
	reports, err := gossip.Parse(buf[:size])
	if err != nil {
		t.Fatal(err)
	}
	return reports
}

// listenUDP returns a UDP socket on loopback that is closed when the test ends.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test has ended
	return conn
}
