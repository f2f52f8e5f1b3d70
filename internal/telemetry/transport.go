package telemetry

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"wheatlane/internal/collectd"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

var errPeerClosed = errors.New("the collector closed the connection")

const (
	chunkBytes       = 4 << 10                // bytes written at once
	sendBufferBytes  = 64 << 10               // of the socket: bounds what a collector that reads nothing holds here
	initialAckPoll   = 200 * time.Microsecond // for bytes acknowledged; doubled with each further one
	maxAckPoll       = 20 * time.Millisecond  // at the longest
	writePollTimeout = 100 * time.Millisecond
	unreachableWait  = 30 * time.Millisecond // for word that nothing listens at a UDP port
)

// carbonTransport is a Graphite server over TCP.
type carbonTransport struct{ encoder graphite.Encoder }

func (c *carbonTransport) open(ctx context.Context, address string) (collectorSession, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(sendBufferBytes); err != nil {
		nc.Close()
		return nil, fmt.Errorf("write buffer: %w", err)
	}
	s := &carbonSession{encoder: c.encoder, conn: tcp, peerClosed: make(chan struct{})}
	if s.initialAcked, err = ackedBytes(tcp); err != nil {
		nc.Close()
		return nil, err
	}
	go func() { // ends with the socket, which close shuts
		defer close(s.peerClosed)
		var b [512]byte
		for { // carbon says nothing; whatever comes is passed over
			if _, err := tcp.Read(b[:]); err != nil {
				return
			}
		}
	}()
	return s, nil
}

// carbonSession is a connection to carbon.
type carbonSession struct {
	encoder    graphite.Encoder
	conn       *net.TCPConn
	peerClosed chan struct{}

	initialAcked int64       // what counted as acknowledged at the start
	sentBytes    int64       // bytes taken by the kernel
	pending      []sentPiece // not acknowledged whole
}

// sentPiece is what was written at once: whole records.
type sentPiece struct {
	offset      int64 // offset of its first byte on the connection
	firstRecord int   // number of its first record
	nextRecord  int   // and of the one after its last
	data        []byte
}

func (s *carbonSession) done() <-chan struct{} { return s.peerClosed }

// close ends the connection. What the kernel took and the other machine has not acknowledged is called back: it would
// go out behind our back if that reads on, and the next connection begins with it.
func (s *carbonSession) close() {
	if len(s.pending) > 0 {
		s.conn.SetLinger(0) //nolint:errcheck // it is closed next
	}
	s.conn.Close()
	<-s.peerClosed
}

// write counts an interval as written once the other machine has acknowledged its last byte: what the kernel took
// and never sent would else be lost with the connection.
func (s *carbonSession) write(ctx context.Context, v *metrics.Interval, from int, progress func(int)) (int, error) {
	records := s.encoder.Records(v)
	out := from // records that are out
	for next := from; next < records; {
		data, then, err := s.encoder.Append(nil, v, next, chunkBytes)
		if err != nil {
			return out, err
		}
		s.pending = append(s.pending, sentPiece{offset: s.sentBytes, firstRecord: next, nextRecord: then, data: data})
		next = then
		for len(data) > 0 {
			if err := s.conn.SetWriteDeadline(time.Now().Add(writePollTimeout)); err != nil {
				return s.settle(out, progress), err
			}
			n, err := s.conn.Write(data)
			s.sentBytes += int64(n)
			data = data[n:]
			out = s.settle(out, progress)
			switch {
			case ctx.Err() != nil:
				return out, ctx.Err()
			case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
				return out, err
			}
		}
	}
	look := time.NewTimer(initialAckPoll)
	defer look.Stop()
	for pause := initialAckPoll; ; {
		if out = s.settle(out, progress); len(s.pending) == 0 {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return s.settle(out, progress), ctx.Err()
		case <-s.peerClosed:
			return s.settle(out, progress), errPeerClosed
		case <-look.C:
			pause = min(2*pause, maxAckPoll)
			look.Reset(pause)
		}
	}
}

// settle lets go of what is acknowledged and returns how many records are.
func (s *carbonSession) settle(out int, progress func(int)) int {
	at, err := ackedBytes(s.conn)
	if err != nil {
		return out // nothing new is sure
	}
	was := out
	out, s.pending = settlePieces(s.pending, at-s.initialAcked, out, !s.encoder.Pickle)
	if out > was {
		progress(out)
	}
	return out
}

// settlePieces takes off what was written all that is acknowledged up to an offset, and returns how many records are
// out. A line counts once its end is acknowledged; other pieces count as a whole only.
func settlePieces(pending []sentPiece, at int64, out int, lines bool) (int, []sentPiece) {
	for len(pending) > 0 {
		p := &pending[0]
		if at < p.offset+int64(len(p.data)) {
			if part := at - p.offset; part > 0 && lines {
				out = p.firstRecord + bytes.Count(p.data[:part], []byte{'\n'})
			}
			break
		}
		out, pending = p.nextRecord, pending[1:]
	}
	return out, pending
}

// ackedBytes is how many bytes the other machine has acknowledged, as the kernel counts them.
func ackedBytes(nc *net.TCPConn) (n int64, err error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("socket: %w", err)
	}
	if ctl := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int64(info.Bytes_acked)
		}
	}); ctl != nil {
		return 0, fmt.Errorf("socket: %w", ctl)
	}
	return n, err
}

// collectdTransport is a collectd server over UDP.
type collectdTransport struct {
	host     string
	security collectd.Security
}

func (c *collectdTransport) open(ctx context.Context, address string) (collectorSession, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	return &collectdSession{c, nc}, nil
}

// collectdSession is a socket to collectd. Datagrams are not acknowledged: what gets lost on the way is not known
// here, and counters make up for it with the next interval.
type collectdSession struct {
	transport *collectdTransport
	conn      net.Conn
}

func (s *collectdSession) done() <-chan struct{} { return nil }
func (s *collectdSession) close()                { s.conn.Close() }

func (s *collectdSession) write(ctx context.Context, v *metrics.Interval, _ int, _ func(int)) (int, error) {
	p := collectd.Packer{Security: s.transport.security, Random: func(b []byte) error {
		_, err := rand.Read(b)
		return err
	}, Emit: func(packet []byte) error {
		_, err := s.conn.Write(packet)
		return errors.Join(err, ctx.Err())
	}}
	if err := collectd.Lists(v, s.transport.host, p.Add); err != nil {
		return 0, err
	}
	if err := p.Flush(); err != nil {
		return 0, err
	}
	// A machine at which nothing listens says so soon, and the next call on the socket tells.
	if err := s.conn.SetReadDeadline(time.Now().Add(unreachableWait)); err != nil {
		return 0, err
	}
	var b [64]byte
	if _, err := s.conn.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	return 0, nil
}
