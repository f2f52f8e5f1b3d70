package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// largeInterval returns an interval whose lines exceed the buffers of both sockets.
func largeInterval() *metrics.Interval {
	const tenants = 4000
	limits := metrics.Limits{Classes: 1, Tenants: tenants, Engines: 1, DataSets: 1, IdleTimeout: time.Hour}
	r := metrics.NewRegistry(limits, 0, 0)
	for i := range tenants {
		slot := r.Slot(metrics.Tenant, fmt.Sprintf("a-tenant-with-a-long-name-%06d", i))
		for label := range metrics.RequestOutcomesByTenant.SeriesPerName() {
			r.Add(metrics.RequestOutcomesByTenant, slot, label, float64(i+1))
		}
	}
	return r.EndInterval(testStartTime, testInterval)
}

// awaitBlocked waits until a socket can't send as its peer does not read: the socket has unsent data, and all data sent
// is acknowledged.
func awaitBlocked(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; {
		var info *unix.TCPInfo
		if err := raw.Control(func(fd uintptr) {
			info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}); err != nil {
			t.Fatal(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		if info.Unacked == 0 && info.Notsent_bytes > 0 && info.Bytes_acked > 1000 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timeout waiting until the connection is blocked")
		}
		time.Sleep(time.Millisecond) // the kernel does not notify of changes
	}
}

// carbonPeer accepts the connections of a transport, one at a time.
type carbonPeer struct {
	t         *testing.T
	listener  net.Listener
	transport carbonTransport
}

func newCarbonPeer(t *testing.T, pickle bool) *carbonPeer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	encoder := graphite.Encoder{Format: graphite.PathFormat{Prefix: "w"}, Broker: "n1", Pickle: pickle}
	return &carbonPeer{t, listener, carbonTransport{encoder}}
}

// connect returns both ends of a new connection.
func (p *carbonPeer) connect() (*carbonSession, net.Conn) {
	p.t.Helper()
	s, err := p.transport.open(p.t.Context(), p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	peer, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	return s.(*carbonSession), peer
}

// abortWrite writes an interval to a peer that does not read, cancels the write when it blocks, and closes the
// connection. It returns the number of records that count as sent, and the bytes that the peer received.
func (p *carbonPeer) abortWrite(v *metrics.Interval) (records int, received []byte) {
	p.t.Helper()
	s, peer := p.connect()
	ctx, cancel := context.WithCancel(p.t.Context())
	sent := make(chan int, 1)
	go func() {
		n, _ := s.write(ctx, v, 0, func(int) {}) // fails as it is cancelled
		sent <- n
	}()
	awaitBlocked(p.t, s.conn)
	cancel()
	records = <-sent
	s.close()
	received, _ = io.ReadAll(peer) // fails at the end: the connection was reset
	_ = peer.Close()
	return records, received
}

// resume writes the interval, starting at a record, over another connection, and returns the bytes received on it.
func (p *carbonPeer) resume(v *metrics.Interval, from int) []byte {
	p.t.Helper()
	s, peer := p.connect()
	received := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(peer) // the caller checks the length
		received <- b
	}()
	records := p.transport.encoder.RecordCount(v)
	if end, err := s.write(p.t.Context(), v, from, func(int) {}); err != nil || end != records {
		p.t.Fatalf("wrote up to record %d of %d, error %v", end, records, err)
	}
	s.close()
	remaining := <-received
	_ = peer.Close()
	return remaining
}

// A collector stops reading in the middle of an interval, and the connection is closed. The received data ends with a
// truncated line, and the next connection must resume with that line, so that no line is duplicated or missing.
func TestResumesAfterAcknowledgedRecords(t *testing.T) {
	v := largeInterval()
	for _, pickle := range []bool{false, true} {
		t.Run(fmt.Sprintf("pickle %v", pickle), func(t *testing.T) {
			peer := newCarbonPeer(t, pickle)
			encoder := &peer.transport.encoder
			sent, got := peer.abortWrite(v)
			if sent <= 0 || sent >= encoder.RecordCount(v) {
				t.Fatalf("%d records of %d are sent: the write was not interrupted", sent, encoder.RecordCount(v))
			}
			remaining := peer.resume(v, sent)
			if pickle {
				if all := append(parseFrames(t, got), parseFrames(t, remaining)...); len(all) != encoder.RecordCount(v) {
					t.Fatalf("received %d records, want %d", len(all), encoder.RecordCount(v))
				}
				return
			}
			want, _, err := encoder.Append(nil, v, 0, 1<<30)
			if err != nil {
				t.Fatal(err)
			}
			got = got[:bytes.LastIndexByte(got, '\n')+1] // drops the truncated line, as carbon does
			if !bytes.Equal(append(got, remaining...), want) {
				t.Fatalf("received %d and %d bytes, which differ from the %d expected", len(got), len(remaining), len(want))
			}
		})
	}
}

// parseFrames returns the samples of the complete frames.
func parseFrames(t *testing.T, b []byte) []graphite.Sample {
	t.Helper()
	var all []graphite.Sample
	for {
		some, n, err := graphite.ParsePickle(b)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			return all
		}
		all, b = append(all, some...), b[n:]
	}
}
