// Package gossiptransport sends load reports between the brokers of a fleet as UDP datagrams. Datagrams may be delayed
// or lost: they are neither acknowledged nor retransmitted.
package gossiptransport

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"wheatlane/control"
	"wheatlane/internal/gossip"
	"wheatlane/internal/server/netlisten"
)

const (
	sendTimeout    = 5 * time.Millisecond // after which a datagram is dropped
	readRetryDelay = time.Second          // after a failed read
)

// Config configures a transport.
type Config struct {
	ListenAddr string
	Brokers    []string // addresses of all brokers of the fleet, by index
	Log        *zap.Logger
}

// Receiver receives load reports.
type Receiver interface {
	// GossipReceived receives the reports of the broker with the given index. It may block until ctx ends.
	GossipReceived(ctx context.Context, broker int, reports []control.GossipedLoad)
}

// Transport sends and receives datagrams on one socket.
type Transport struct {
	conn         *net.UDPConn
	log          *zap.Logger
	brokers      []netip.AddrPort // by index
	brokerByAddr map[netip.AddrPort]int
	sendBuffer   []byte // of Send

	// Whether the warning of each kind was logged; each is logged once. Owned by the goroutine of Run.
	loggedUnknownSender, loggedMalformed bool
}

// Listen opens the socket. If a broker's address is invalid, the error names its entry in the peers setting.
func Listen(ctx context.Context, cfg Config) (*Transport, error) {
	t := &Transport{log: cfg.Log, brokerByAddr: map[netip.AddrPort]int{}}
	for i, text := range cfg.Brokers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		t.brokers = append(t.brokers, addr)
		t.brokerByAddr[addr] = i
	}
	conn, err := netlisten.UDP(ctx, netlisten.ReusePortConfig(cfg.Log), cfg.ListenAddr)
	if err != nil {
		return nil, err
	}
	t.conn = conn
	return t, nil
}

// Addr returns the address of the socket.
func (t *Transport) Addr() net.Addr { return t.conn.LocalAddr() }

// Send sends one datagram to a broker. A datagram that can't be sent is dropped, because the next one contains more
// recent reports. Send must not be called concurrently.
func (t *Transport) Send(broker int, reports []control.GossipedLoad) {
	if broker < 0 || broker >= len(t.brokers) {
		return
	}
	t.sendBuffer = gossip.Append(t.sendBuffer[:0], reports)
	_ = t.conn.SetWriteDeadline(time.Now().Add(sendTimeout))          // fails only if closed; the write then fails too
	_, _ = t.conn.WriteToUDPAddrPort(t.sendBuffer, t.brokers[broker]) // on an error the datagram is dropped
}

// Run receives datagrams until ctx ends, and then closes the socket.
func (t *Transport) Run(ctx context.Context, receiver Receiver) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() }) // unsent datagrams may be lost
	defer stop()
	buf := make([]byte, gossip.MaxBytes+1)
	for {
		size, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			t.log.Warn("reading gossip datagrams failed", zap.Error(err))
			select { // prevents a busy loop if every read fails
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
			continue
		}
		if broker, reports, ok := t.parse(buf[:size], from); ok {
			receiver.GossipReceived(ctx, broker, reports)
		}
	}
}

// parse returns the reports of a datagram and the index of the broker that sent it. It returns false if the sender is
// not a broker of the fleet or the datagram is malformed.
func (t *Transport) parse(datagram []byte, from netip.AddrPort) (broker int, reports []control.GossipedLoad, ok bool) {
	broker, ok = t.brokerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !ok {
		if !t.loggedUnknownSender {
			t.loggedUnknownSender = true
			t.log.Warn("gossip datagram from an unknown address", zap.Stringer("from", from))
		}
		return 0, nil, false
	}
	reports, err := gossip.Parse(datagram)
	if err != nil {
		if !t.loggedMalformed {
			t.loggedMalformed = true
			t.log.Warn("gossip datagram malformed", zap.Int("from", broker), zap.Error(err))
		}
		return 0, nil, false
	}
	return broker, reports, true
}
