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
	chunkBytes = 4 << 10 // data encoded and written at a time
	// sendBufferBytes limits the data that the kernel buffers for a collector that reads nothing.
	sendBufferBytes = 64 << 10
	// The interval between polls for acknowledgements doubles from the initial one up to the maximum.
	initialAckPoll = 200 * time.Microsecond
	maxAckPoll     = 20 * time.Millisecond
	// writePollTimeout is how often a blocked write checks its context and the acknowledged bytes.
	writePollTimeout = 100 * time.Millisecond
)

// carbonTransport connects to a carbon server over TCP.
type carbonTransport struct{ encoder graphite.Encoder }

func (t *carbonTransport) open(ctx context.Context, address string) (session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := newCarbonSession(conn.(*net.TCPConn), t.encoder)
	if err != nil {
		_ = conn.Close() // the first error is reported
		return nil, err
	}
	return s, nil
}

// carbonSession is a TCP connection to carbon.
type carbonSession struct {
	encoder graphite.Encoder
	conn    *net.TCPConn
	closed  chan struct{} // closed when the connection has ended

	initialAcked int64 // the kernel's count of acknowledged bytes before the first write
	acks         ackTracker
}

func newCarbonSession(conn *net.TCPConn, encoder graphite.Encoder) (*carbonSession, error) {
	if err := conn.SetWriteBuffer(sendBufferBytes); err != nil {
		return nil, fmt.Errorf("set send buffer of carbon connection: %w", err)
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
	go s.discardInput() // ends with the connection; close waits for it
	return s, nil
}

// discardInput reads and ignores all input until the connection ends. Carbon sends nothing.
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

// close closes the connection. If bytes are not acknowledged, it resets the connection, so that the kernel discards
// them instead of sending them later: the next connection sends them again.
func (s *carbonSession) close() {
	if s.acks.outstanding() {
		_ = s.conn.SetLinger(0) // fails only on a closed connection
	}
	_ = s.conn.Close() // an error can't be handled
	<-s.closed
}

// write returns when the collector's host has acknowledged the last byte of the interval. Otherwise bytes that the
// kernel has buffered but not sent would be lost if the connection ended.
func (s *carbonSession) write(ctx context.Context, interval *metrics.Interval, from int,
	progress func(int),
) (int, error) {
	s.acks.records = from
	for next, records := from, s.encoder.RecordCount(interval); next < records; {
		data, after, err := s.encoder.Append(nil, interval, next, chunkBytes)
		if err != nil {
			return s.acks.records, err
		}
		s.acks.add(sentChunk{firstRecord: next, nextRecord: after, data: data})
		if err := s.send(ctx, data, progress); err != nil {
			return s.acks.records, err
		}
		next = after
	}
	err := s.awaitAcks(ctx, progress)
	return s.acks.records, err
}

// send writes data to the kernel's send buffer.
func (s *carbonSession) send(ctx context.Context, data []byte, progress func(int)) error {
	for len(data) > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(writePollTimeout)); err != nil {
			s.updateAcks(progress)
			return err
		}
		written, err := s.conn.Write(data)
		data = data[written:]
		s.updateAcks(progress)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		}
	}
	return nil
}

// awaitAcks waits until all sent data is acknowledged. It polls, as the kernel does not notify of acknowledgements.
func (s *carbonSession) awaitAcks(ctx context.Context, progress func(int)) error {
	poll := time.NewTimer(initialAckPoll)
	defer poll.Stop()
	for interval := initialAckPoll; ; {
		s.updateAcks(progress)
		if !s.acks.outstanding() {
			return nil
		}
		select {
		case <-ctx.Done():
			s.updateAcks(progress)
			return ctx.Err()
		case <-s.closed:
			s.updateAcks(progress)
			return errPeerClosed
		case <-poll.C:
			interval = min(2*interval, maxAckPoll)
			poll.Reset(interval)
		}
	}
}

// updateAcks records the acknowledged bytes and calls progress if further records are acknowledged.
func (s *carbonSession) updateAcks(progress func(int)) {
	acked, err := ackedBytes(s.conn)
	if err != nil {
		return // keeps the last known count
	}
	before := s.acks.records
	s.acks.acknowledge(acked - s.initialAcked)
	if s.acks.records > before {
		progress(s.acks.records)
	}
}

// ackedBytes returns the number of bytes that the peer has acknowledged, from the kernel's TCP_INFO.
func ackedBytes(conn *net.TCPConn) (acked int64, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("access socket of carbon connection: %w", err)
	}
	if controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = int64(info.Bytes_acked)
		}
	}); controlErr != nil {
		return 0, fmt.Errorf("access socket of carbon connection: %w", controlErr)
	}
	return acked, err
}
