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
	tellWithin = 5 * time.Millisecond // a datagram that can't leave at once is let go
	readAgain  = time.Second          // after an error of the socket
)

// gossipTransport carries datagrams between the brokers of a fleet. They are late or lost at will: none is answered, waited
// for or sent again.
type gossipTransport struct {
	n       *Server
	conn    *net.UDPConn
	peers   []netip.AddrPort
	numbers map[netip.AddrPort]int
	scratch []byte
}

// newGossip listens for the other brokers' datagrams.
func newGossip(ctx context.Context, n *Server) (*gossipTransport, error) {
	g := &gossipTransport{n: n, numbers: map[netip.AddrPort]int{}}
	for i, text := range n.cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		g.peers = append(g.peers, addr)
		g.numbers[addr] = i
	}
	conn, err := (&net.ListenConfig{Control: reusePort(n.log)}).ListenPacket(ctx, "udp4", n.cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	g.conn = conn.(*net.UDPConn)
	return g, nil
}

// tell sends one datagram. What can't be sent is let go: the next one holds younger news.
func (g *gossipTransport) tell(e broker.SendGossip) {
	if e.Broker < 0 || e.Broker >= len(g.peers) {
		return
	}
	g.scratch = gossip.Append(g.scratch[:0], e.Reports)
	g.conn.SetWriteDeadline(time.Now().Add(tellWithin))     //nolint:errcheck // then it has none
	g.conn.WriteToUDPAddrPort(g.scratch, g.peers[e.Broker]) //nolint:errcheck // as said above
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
			g.n.log.Warn("datagrams of other brokers can't be read", zap.Error(err))
			select { // guards against a loop without a wait where the system refuses every read
			case <-ctx.Done():
			case <-time.After(readAgain):
			}
			continue
		}
		number, ok := g.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok {
			if !foreign {
				foreign = true
				g.n.log.Warn("a datagram from no broker of the fleet", zap.Stringer("from", from))
			}
			continue
		}
		reports, err := gossip.Parse(buf[:size])
		if err != nil {
			if !spoilt {
				spoilt = true
				g.n.log.Warn("a broker's datagram can't be read", zap.Int("from", number), zap.Error(err))
			}
			continue
		}
		if !g.n.post(ctx, func() { g.n.apply(broker.GossipReceived{Broker: number, Reports: reports}) }) {
			return ctx.Err()
		}
	}
}
