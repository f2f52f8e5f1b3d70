package telemetry

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"os"
	"time"

	"wheatlane/internal/collectd"
	"wheatlane/internal/metrics"
)

// unreachableWait is how long a write waits for the ICMP message that reports a closed UDP port.
const unreachableWait = 30 * time.Millisecond

// collectdTransport writes to a collectd server over UDP.
type collectdTransport struct {
	host     string // host name in value lists: the broker
	security collectd.Security
}

func (t *collectdTransport) open(ctx context.Context, address string) (session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	return &collectdSession{transport: t, conn: conn}, nil
}

// collectdSession is a UDP socket connected to collectd. Datagrams are not acknowledged, so a loss on the network is
// not detected; the counters of the next interval include the lost counts.
type collectdSession struct {
	transport *collectdTransport
	conn      net.Conn
}

func (s *collectdSession) peerClosed() <-chan struct{} { return nil }

func (s *collectdSession) close() { _ = s.conn.Close() } // a UDP socket has no buffered data to lose

// write sends all datagrams of the interval. It always starts at the first record, as datagrams can't be resumed.
func (s *collectdSession) write(ctx context.Context, interval *metrics.Interval, _ int, _ func(int)) (int, error) {
	packer := collectd.Packer{
		Security: s.transport.security,
		Random: func(b []byte) error {
			_, err := rand.Read(b)
			return err
		},
		Emit: func(packet []byte) error {
			_, err := s.conn.Write(packet)
			return errors.Join(err, ctx.Err())
		},
	}
	if err := collectd.EachValueList(interval, s.transport.host, packer.Add); err != nil {
		return 0, err
	}
	if err := packer.Flush(); err != nil {
		return 0, err
	}
	return 0, s.awaitUnreachable()
}

// awaitUnreachable waits for unreachableWait and returns the error that the socket reports if the port is closed.
func (s *collectdSession) awaitUnreachable() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(unreachableWait)); err != nil {
		return err
	}
	var buffer [64]byte
	if _, err := s.conn.Read(buffer[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}
