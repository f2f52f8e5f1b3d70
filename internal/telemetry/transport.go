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
	chunk       = 4 << 10                // bytes written at once
	sendBuffer  = 64 << 10               // of the socket: bounds what a collector that reads nothing holds here
	firstLook   = 200 * time.Microsecond // for bytes acknowledged; doubled with each further one
	lookEvery   = 20 * time.Millisecond  // at the longest
	stallLook   = 100 * time.Millisecond
	refusalWait = 30 * time.Millisecond // for word that nothing listens at a UDP port
)

// carbon is a Graphite server over TCP.
type carbon struct{ enc graphite.Encoder }

func (c *carbon) open(ctx context.Context, address string) (session, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(sendBuffer); err != nil {
		nc.Close()
		return nil, fmt.Errorf("write buffer: %w", err)
	}
	s := &carbonSession{enc: c.enc, nc: tcp, over: make(chan struct{})}
	if s.base, err = acked(tcp); err != nil {
		nc.Close()
		return nil, err
	}
	go func() { // ends with the socket, which close shuts
		defer close(s.over)
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
	enc  graphite.Encoder
	nc   *net.TCPConn
	over chan struct{}

	base    int64   // what counted as acknowledged at the start
	sent    int64   // bytes taken by the kernel
	pending []piece // not acknowledged whole
}

// piece is what was written at once: whole records.
type piece struct {
	start int64 // offset of its first byte on the connection
	from  int   // number of its first record
	next  int   // and of the one after its last
	data  []byte
}

func (s *carbonSession) ended() <-chan struct{} { return s.over }

// close ends the connection. What the kernel took and the other machine has not acknowledged is called back: it would
// go out behind our back if that reads on, and the next connection begins with it.
func (s *carbonSession) close() {
	if len(s.pending) > 0 {
		s.nc.SetLinger(0) //nolint:errcheck // it is closed next
	}
	s.nc.Close()
	<-s.over
}

// write counts an interval as written once the other machine has acknowledged its last byte: what the kernel took
// and never sent would else be lost with the connection.
func (s *carbonSession) write(ctx context.Context, v *metrics.Interval, from int, progress func(int)) (int, error) {
	records := s.enc.Records(v)
	out := from // records that are out
	for next := from; next < records; {
		data, then, err := s.enc.Append(nil, v, next, chunk)
		if err != nil {
			return out, err
		}
		s.pending = append(s.pending, piece{start: s.sent, from: next, next: then, data: data})
		next = then
		for len(data) > 0 {
			if err := s.nc.SetWriteDeadline(time.Now().Add(stallLook)); err != nil {
				return s.settle(out, progress), err
			}
			n, err := s.nc.Write(data)
			s.sent += int64(n)
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
	look := time.NewTimer(firstLook)
	defer look.Stop()
	for pause := firstLook; ; {
		if out = s.settle(out, progress); len(s.pending) == 0 {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return s.settle(out, progress), ctx.Err()
		case <-s.over:
			return s.settle(out, progress), errPeerClosed
		case <-look.C:
			pause = min(2*pause, lookEvery)
			look.Reset(pause)
		}
	}
}

// settle lets go of what is acknowledged and returns how many records are.
func (s *carbonSession) settle(out int, progress func(int)) int {
	at, err := acked(s.nc)
	if err != nil {
		return out // nothing new is sure
	}
	was := out
	out, s.pending = acknowledged(s.pending, at-s.base, out, !s.enc.Pickle)
	if out > was {
		progress(out)
	}
	return out
}

// acknowledged takes off what was written all that is acknowledged up to an offset, and returns how many records are
// out. A line counts once its end is acknowledged; other pieces count as a whole only.
func acknowledged(pending []piece, at int64, out int, lines bool) (int, []piece) {
	for len(pending) > 0 {
		p := &pending[0]
		if at < p.start+int64(len(p.data)) {
			if part := at - p.start; part > 0 && lines {
				out = p.from + bytes.Count(p.data[:part], []byte{'\n'})
			}
			break
		}
		out, pending = p.next, pending[1:]
	}
	return out, pending
}

// acked is how many bytes the other machine has acknowledged, as the kernel counts them.
func acked(nc *net.TCPConn) (n int64, err error) {
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

// network is a collectd server over UDP.
type network struct {
	host     string
	security collectd.Security
}

func (c *network) open(ctx context.Context, address string) (session, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	return &networkSession{c, nc}, nil
}

// networkSession is a socket to collectd. Datagrams are not acknowledged: what gets lost on the way is not known
// here, and counters make up for it with the next interval.
type networkSession struct {
	c  *network
	nc net.Conn
}

func (s *networkSession) ended() <-chan struct{} { return nil }
func (s *networkSession) close()                 { s.nc.Close() }

func (s *networkSession) write(ctx context.Context, v *metrics.Interval, _ int, _ func(int)) (int, error) {
	p := collectd.Packer{Security: s.c.security, Random: func(b []byte) error {
		_, err := rand.Read(b)
		return err
	}, Emit: func(packet []byte) error {
		_, err := s.nc.Write(packet)
		return errors.Join(err, ctx.Err())
	}}
	if err := collectd.Lists(v, s.c.host, p.Add); err != nil {
		return 0, err
	}
	if err := p.Flush(); err != nil {
		return 0, err
	}
	// A machine at which nothing listens says so soon, and the next call on the socket tells.
	if err := s.nc.SetReadDeadline(time.Now().Add(refusalWait)); err != nil {
		return 0, err
	}
	var b [64]byte
	if _, err := s.nc.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	return 0, nil
}
