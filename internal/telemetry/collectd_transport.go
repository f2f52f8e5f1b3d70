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

// unreachableWait is how long a write waits for the ICMP answer that nothing listens at a UDP port.
const unreachableWait = 30 * time.Millisecond

// collectdTransport writes to a collectd server over UDP.
type collectdTransport struct {
	host     string // of the values: the broker
	security collectd.Security
}

func (t *collectdTransport) open(ctx context.Context, address string) (session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	return &collectdSession{transport: t, conn: conn}, nil
}

// collectdSession is a socket to collectd. Datagrams are not acknowledged: a loss on the network is not
// noticed here, and the counters of the next interval make up for it.
type collectdSession struct {
	transport *collectdTransport
	conn      net.Conn
}

func (s *collectdSession) peerClosed() <-chan struct{} { return nil }

func (s *collectdSession) close() { _ = s.conn.Close() } // nothing is buffered in a UDP socket

// write sends all datagrams of the interval; there is no resuming from a record.
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

// awaitUnreachable returns the error that the socket has soon if nothing listens at the other end.
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
