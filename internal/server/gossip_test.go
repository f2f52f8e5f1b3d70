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

// A broker of many tells on what another told it of an engine. What comes from no broker's address or can't be read
// is not taken, and is logged once.
func TestGossip(t *testing.T) {
	other, stranger := listenUDP(t), listenUDP(t)
	s := startConfigured(t, nopMeter{}, 30*time.Second, 1024, func(c *config.Config) {
		c.PeerListen = "127.0.0.1:0"
		c.Settings.Control.Limits.Gossip = true
		c.Settings.Control.Brokers = 40 // so many that engines are pooled; the test is all the others
		for range c.Settings.Control.Brokers {
			c.Peers = append(c.Peers, other.LocalAddr().String())
		}
	}, endpointJSON("e1", "127.0.0.1:1", "in_service", 0))
	broker := s.server.gossip.conn.LocalAddr()
	say := func(from net.PacketConn, text []byte) {
		if _, err := from.WriteTo(text, broker); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 { // all of these come before what is heard, as a broker's socket keeps their order
		say(stranger, gossip.Append(nil, []control.LoadReport{{Engine: control.EngineHash("e1"), Load: 2.5}}))
		say(other, []byte("GET / HTTP/1.1"))
	}
	say(other, gossip.Append(nil, []control.LoadReport{{Engine: control.EngineHash("e1"), Load: 0.5, Age: time.Second}}))
	buf := make([]byte, gossip.MaxBytes+1)
	if err := other.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	size, _, err := other.ReadFrom(buf)
	if err != nil {
		t.Fatal(err)
	}
	got, err := gossip.Parse(buf[:size])
	if err != nil || len(got) != 1 || got[0].Age < time.Second {
		t.Fatalf("told %+v, %v", got, err)
	}
	got[0].Age = 0
	if diff := cmp.Diff([]control.LoadReport{{Engine: control.EngineHash("e1"), Load: 0.5}}, got); diff != "" {
		t.Fatal(diff)
	}
	for _, line := range []string{"gossip datagram from an unknown address", "gossip datagram malformed"} {
		if n := s.logs.FilterMessage(line).Len(); n != 1 {
			t.Errorf("%q logged %d times", line, n)
		}
	}
}

func listenUDP(t *testing.T) net.PacketConn {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
