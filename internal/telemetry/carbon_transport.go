package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

const (
	chunkBytes = 4 << 10 // encoded and written at once
	// sendBufferBytes bounds what the kernel holds for a collector that reads nothing.
	sendBufferBytes = 64 << 10
	// The interval at which acknowledgements are polled doubles from the initial one to the maximum.
	initialAckPoll = 200 * time.Microsecond
	maxAckPoll     = 20 * time.Millisecond
	// writePollTimeout is when a blocked write looks at its context and at what is acknowledged.
	writePollTimeout = 100 * time.Millisecond
)

// carbonTransport writes to a carbon server over TCP.
type carbonTransport struct{ encoder graphite.Encoder }

func (t *carbonTransport) open(ctx context.Context, address string) (session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := newCarbonSession(conn.(*net.TCPConn), t.encoder)
	if err != nil {
		_ = conn.Close() // the first error is the one to report
		return nil, err
	}
	return s, nil
}

// carbonSession is a connection to carbon.
type carbonSession struct {
	encoder graphite.Encoder
	conn    *net.TCPConn
	closed  chan struct{} // closed when the connection has ended

	initialAcked int64 // the kernel's count of acknowledged bytes before the first write
	acks         ackTracker
}

func newCarbonSession(conn *net.TCPConn, encoder graphite.Encoder) (*carbonSession, error) {
	if err := conn.SetWriteBuffer(sendBufferBytes); err != nil {
		return nil, fmt.Errorf("write buffer: %w", err)
	}
	acked, err := ackedBytes(conn)
	if err != nil {
		return nil, err
	}
	s := &carbonSession{
		encoder:      encoder,
		conn:         conn,
		closed:       make(chan struct{}),
		initialAcked: acked,
		acks:         ackTracker{perLine: !encoder.Pickle},
	}
	go s.discardInput() // ends with the connection, and close waits for it
	return s, nil
}

// discardInput reads until the connection ends. Carbon sends nothing; whatever comes is ignored.
func (s *carbonSession) discardInput() {
	defer close(s.closed)
	var buffer [512]byte
	for {
		if _, err := s.conn.Read(buffer[:]); err != nil {
			return
		}
	}
}

func (s *carbonSession) peerClosed() <-chan struct{} { return s.closed }

// close ends the connection. Bytes that the kernel took and the collector has not acknowledged are discarded
// by a reset: they could be sent later all the same, and the next connection starts with them.
func (s *carbonSession) close() {
	if s.acks.outstanding() {
		_ = s.conn.SetLinger(0) // it fails on a closed connection only
	}
	_ = s.conn.Close() // nothing can be done about a failure
	<-s.closed
}

// write returns once the collector's machine has acknowledged the interval's last byte: bytes that the kernel
// took and never sent would otherwise be lost with the connection.
func (s *carbonSession) write(ctx context.Context, interval *metrics.Interval, from int,
	progress func(int),
) (int, error) {
	s.acks.records = from
	for next, records := from, s.encoder.RecordCount(interval); next < records; {
		data, after, err := s.encoder.Append(nil, interval, next, chunkBytes)
		if err != nil {
			return s.acks.records, err
		}
		s.acks.add(sentPiece{firstRecord: next, nextRecord: after, data: data})
		if err := s.send(ctx, data, progress); err != nil {
			return s.acks.records, err
		}
		next = after
	}
	err := s.awaitAcks(ctx, progress)
	return s.acks.records, err
}

// send hands data to the kernel.
func (s *carbonSession) send(ctx context.Context, data []byte, progress func(int)) error {
	for len(data) > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(writePollTimeout)); err != nil {
			s.settle(progress)
			return err
		}
		written, err := s.conn.Write(data)
		data = data[written:]
		s.settle(progress)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		}
	}
	return nil
}

// awaitAcks waits until all that was sent is acknowledged. The kernel notifies of no acknowledgement: it is
// polled.
func (s *carbonSession) awaitAcks(ctx context.Context, progress func(int)) error {
	poll := time.NewTimer(initialAckPoll)
	defer poll.Stop()
	for interval := initialAckPoll; ; {
		s.settle(progress)
		if !s.acks.outstanding() {
			return nil
		}
		select {
		case <-ctx.Done():
			s.settle(progress)
			return ctx.Err()
		case <-s.closed:
			s.settle(progress)
			return errPeerClosed
		case <-poll.C:
			interval = min(2*interval, maxAckPoll)
			poll.Reset(interval)
		}
	}
}

// settle records what is acknowledged.
func (s *carbonSession) settle(progress func(int)) {
	acked, err := ackedBytes(s.conn)
	if err != nil {
		return // what is known stays as it was
	}
	before := s.acks.records
	s.acks.acknowledge(acked - s.initialAcked)
	if s.acks.records > before {
		progress(s.acks.records)
	}
}

// ackedBytes is how many bytes the other machine has acknowledged, by the kernel's TCP_INFO.
func ackedBytes(conn *net.TCPConn) (acked int64, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("socket: %w", err)
	}
	if controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = int64(info.Bytes_acked)
		}
	}); controlErr != nil {
		return 0, fmt.Errorf("socket: %w", controlErr)
	}
	return acked, err
}
