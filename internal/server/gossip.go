package server

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/gossip"
)

const (
	gossipSendTimeout    = 5 * time.Millisecond // a datagram that can't leave at once is let go
	gossipReadRetryDelay = time.Second          // after an error of the socket
)

// gossipTransport carries datagrams between the brokers of a fleet. They are late or lost at will: none is answered, waited
// for or sent again.
type gossipTransport struct {
	server       *Server
	conn         *net.UDPConn
	brokers      []netip.AddrPort
	brokerByAddr map[netip.AddrPort]int
	datagram     []byte
}

// newGossipTransport listens for the other brokers' datagrams.
func newGossipTransport(ctx context.Context, n *Server) (*gossipTransport, error) {
	g := &gossipTransport{server: n, brokerByAddr: map[netip.AddrPort]int{}}
	for i, text := range n.cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		g.brokers = append(g.brokers, addr)
		g.brokerByAddr[addr] = i
	}
	conn, err := (&net.ListenConfig{Control: reusePort(n.log)}).ListenPacket(ctx, "udp4", n.cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	g.conn = conn.(*net.UDPConn)
	return g, nil
}

// send sends one datagram. What can't be sent is let go: the next one holds younger news.
func (g *gossipTransport) send(e broker.SendGossip) {
	if e.Broker < 0 || e.Broker >= len(g.brokers) {
		return
	}
	g.datagram = gossip.Append(g.datagram[:0], e.Reports)
	g.conn.SetWriteDeadline(time.Now().Add(gossipSendTimeout)) //nolint:errcheck // then it has none
	g.conn.WriteToUDPAddrPort(g.datagram, g.brokers[e.Broker]) //nolint:errcheck // as said above
}

// listen takes the other brokers' datagrams until ctx ends. What comes from elsewhere or can't be read is passed
// over; the first of each kind is logged.
func (g *gossipTransport) listen(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	var foreign, spoilt bool
	buf := make([]byte, gossip.MaxBytes+1)
	for {
		size, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			g.server.log.Warn("datagrams of other brokers can't be read", zap.Error(err))
			select { // guards against a loop without a wait where the system refuses every read
			case <-ctx.Done():
			case <-time.After(gossipReadRetryDelay):
			}
			continue
		}
		number, ok := g.brokerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok {
			if !foreign {
				foreign = true
				g.server.log.Warn("a datagram from no broker of the fleet", zap.Stringer("from", from))
			}
			continue
		}
		reports, err := gossip.Parse(buf[:size])
		if err != nil {
			if !spoilt {
				spoilt = true
				g.server.log.Warn("a broker's datagram can't be read", zap.Int("from", number), zap.Error(err))
			}
			continue
		}
		if !g.server.post(ctx, func() { g.server.apply(broker.GossipReceived{Broker: number, Reports: reports}) }) {
			return ctx.Err()
		}
	}
}
