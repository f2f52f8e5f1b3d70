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

// large is an interval of more lines than the buffers of two sockets hold.
func large() *metrics.Interval {
	const tenants = 4000
	r := metrics.NewRegistry(metrics.Limits{Classes: 1, Tenants: tenants, Engines: 1, DataSets: 1, Idle: time.Hour}, 0, 0)
	for i := range tenants {
		slot := r.Slot(metrics.Tenant, fmt.Sprintf("a-tenant-with-a-long-name-%06d", i))
		for part := range metrics.AnswersByTenant.Parts() {
			r.Add(metrics.AnswersByTenant, slot, part, float64(i+1))
		}
	}
	return r.Cut(1_750_000_000*time.Second, 10*time.Second)
}

// stuck waits until a socket has more to send and the other side takes nothing: all that was sent is acknowledged.
func stuck(t *testing.T, nc *net.TCPConn) {
	t.Helper()
	raw, err := nc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patience); ; {
		var info *unix.TCPInfo
		if err := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
			t.Fatal(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		if info.Unacked == 0 && info.Notsent_bytes > 0 && info.Bytes_acked > 1000 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the other side takes all")
		}
		time.Sleep(time.Millisecond) // the kernel tells of no change
	}
}

// A collector stops reading in the middle of an interval, and the connection is given up: what it got ends in a torn
// line, and the next connection goes on with that line whole. None is doubled and none is missing.
func TestWritingGoesOnAtALinesEdge(t *testing.T) {
	for _, pickle := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		v := large()
		c := carbonTransport{graphite.Encoder{Form: graphite.Form{Prefix: "w"}, Broker: "n1", Pickle: pickle}}
		want, _, err := c.encoder.Append(nil, v, 0, 1<<30)
		if err != nil {
			t.Fatal(err)
		}
		session := func() (*carbonSession, net.Conn) {
			s, err := c.open(t.Context(), ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return s.(*carbonSession), peer
		}
		first, peer := session()
		ctx, cancel := context.WithCancel(t.Context())
		out := make(chan int, 1)
		go func() {
			n, _ := first.write(ctx, v, 0, func(int) {})
			out <- n
		}()
		stuck(t, first.conn)
		cancel()
		n := <-out
		first.close()
		got, _ := io.ReadAll(peer) // it reads again, too late; the connection ends in a reset
		peer.Close()
		if n <= 0 || n >= c.encoder.Records(v) {
			t.Fatalf("%d records of %d are out: the test shows nothing", n, c.encoder.Records(v))
		}

		second, peer := session()
		whole := make(chan []byte, 1)
		go func() {
			b, _ := io.ReadAll(peer)
			whole <- b
		}()
		if end, err := second.write(t.Context(), v, n, func(int) {}); err != nil || end != c.encoder.Records(v) {
			t.Fatalf("%d of %d: %v", end, c.encoder.Records(v), err)
		}
		second.close()
		rest := <-whole
		peer.Close()
		if pickle {
			all := append(samples(t, got), samples(t, rest)...)
			if len(all) != c.encoder.Records(v) {
				t.Fatalf("%d records came of %d", len(all), c.encoder.Records(v))
			}
			continue
		}
		got = got[:bytes.LastIndexByte(got, '\n')+1] // what is torn is dropped, as carbon does
		if !bytes.Equal(append(got, rest...), want) {
			t.Fatalf("%d and %d bytes came, not the %d there are", len(got), len(rest), len(want))
		}
	}
}

// samples are those of the whole frames.
func samples(t *testing.T, b []byte) (all []graphite.Sample) {
	t.Helper()
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

// Whatever offset is acknowledged, what counts as out is what a collector has whole.
func TestAcknowledged(t *testing.T) {
	pieces := []sentPiece{{0, 10, 12, []byte("ab 1\ncd 2\n")}, {10, 12, 13, []byte("ef 3\n")}}
	for at, want := range map[int64][2]int{ // lines, pieces that count as a whole
		0: {10, 10}, 1: {10, 10}, 4: {10, 10}, 5: {11, 10}, 9: {11, 10}, 10: {12, 12}, 14: {12, 12}, 15: {13, 13}, 99: {13, 13},
	} {
		for i, lines := range []bool{true, false} {
			if got, _ := settlePieces(pieces, at, 10, lines); got != want[i] {
				t.Errorf("offset %d, lines %v: %d records are out, want %d", at, lines, got, want[i])
			}
		}
	}
	if _, rest := settlePieces(pieces, 12, 10, true); len(rest) != 1 || rest[0].firstRecord != 12 {
		t.Errorf("left is %+v", rest)
	}
}
