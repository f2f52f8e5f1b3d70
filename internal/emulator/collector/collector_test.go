package collector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// intervalSamples are the samples of an interval: its number, what it stands for, and a counter.
func intervalSamples(broker string, started, at int64, number, of, requests float64) []Sample {
	var all []Sample
	for _, v := range []struct {
		id metrics.ID
		x  float64
	}{{metrics.Requests, requests}, {metrics.Started, float64(started)}, {metrics.Sequence, number}, {metrics.Folded, of}} {
		s := metrics.Series{Figure: v.id}
		if metrics.Catalogue[v.id].By != metrics.NoDimension {
			s.Name = "lookup"
		}
		all = append(all, Sample{Name: graphite.Name{Broker: broker, Series: s}, Value: v.x, At: at})
	}
	return all
}

func concat(parts ...[]Sample) (all []Sample) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// Each rule finds the breach that is planted for it; what is no breach is not found.
func TestReconcile(t *testing.T) {
	first, second, third := intervalSamples("n1", 100, 110, 1, 1, 5), intervalSamples("n1", 100, 120, 2, 1, 9), intervalSamples("n1", 100, 130, 3, 1, 12)
	for _, c := range []struct {
		name    string
		samples []Sample
		want    string // in the one fault
		missing int64
	}{
		{"in order", concat(first, second, third), "", 0},
		{"the newest first", concat(third, first, second), "", 0},
		{"twice", concat(first, second, second, third), "", 0},
		{"folded", concat(first, intervalSamples("n1", 100, 130, 3, 2, 12)), "", 0},
		{"a gap", concat(first, third), "", 1},
		{"a restart", concat(first, second, intervalSamples("n1", 125, 135, 1, 1, 0), intervalSamples("n1", 125, 145, 2, 1, 3)), "", 0},
		{"two brokers", concat(first, intervalSamples("n2", 100, 110, 1, 1, 77)), "", 0},
		{"the clock set back", concat(first, intervalSamples("n1", 100, 50, 2, 1, 9), intervalSamples("n1", 100, 60, 3, 1, 10)), "", 0},
		{"a counter that fell", concat(first, second, intervalSamples("n1", 100, 130, 3, 1, 8)), "requests of \"lookup\" fell from 9 to 8", 0},
		{"a number under two times", concat(first, intervalSamples("n1", 100, 115, 1, 1, 6)), "interval 1 came under the times", -1},
		{"more than there were", concat(first, intervalSamples("n1", 100, 120, 2, 5, 9)), "more than the 2 there were", -4},
	} {
		f := Reconcile(c.samples, 0, nil, nil)
		got := strings.Join(f.Faults, "; ")
		if c.want == "" && got != "" || c.want != "" && !strings.Contains(got, c.want) {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
		if m := f.Runs[0].Missing(); m != c.missing {
			t.Errorf("%s: %d missing, want %d", c.name, m, c.missing)
		}
	}
	if f := Reconcile(concat(first, second, second), 0, nil, nil); f.Duplicated != 4 {
		t.Errorf("%d came twice", f.Duplicated)
	}
	if f := Reconcile(first[:2], 0, nil, nil); f.Incomplete != 1 || len(f.Runs) != 0 {
		t.Errorf("an interval without its number: %+v", f)
	}
}

func TestQuantilesOutOfOrderAreFound(t *testing.T) {
	all := intervalSamples("n1", 100, 110, 1, 1, 5)
	for i, stat := range metrics.Stats {
		all = append(all, Sample{
			Name:  graphite.Name{Broker: "n1", Series: metrics.Series{Figure: metrics.AnswerTime, Name: "lookup"}, Stat: stat},
			Value: float64(10 - i), At: 110,
		})
	}
	if f := Reconcile(all, 0, nil, nil); len(f.Faults) != 1 || !strings.Contains(f.Faults[0], "out of order") {
		t.Fatalf("%q", f.Faults)
	}
}

// A collector that is to be there is there from the start, and one that is gone is so at once: a test that goes on sees
// no other order.
func TestComesAndGoesAtOnce(t *testing.T) {
	dial := func(c *Carbon) error {
		nc, err := net.Dial("tcp", c.Addr())
		if err == nil {
			nc.Close()
		}
		return err
	}
	for range 200 { // no run may depend on which goroutine comes first
		c, err := NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "w"}, false, NewReconciler(nil))
		if err != nil {
			t.Fatal(err)
		}
		if err := dial(c); err != nil {
			t.Fatal("before it runs:", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		if err := dial(c); err != nil {
			t.Fatal("as it runs:", err)
		}
		c.Set(Unreachable)
		if err := dial(c); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatal("gone:", err)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// turning is a connection under which the mode changes while it is being read.
type turning struct {
	net.Conn
	rest   io.Reader
	turn   func()
	closed bool
}

func (c *turning) Read(p []byte) (int, error) {
	c.turn()
	if c.closed {
		return 0, net.ErrClosed
	}
	return io.ReadFull(c.rest, p)
}

func (c *turning) Close() error {
	c.closed = true
	return nil
}

// A connection that is being read as Tear ends is not torn any more, so what is written from then on comes whole.
func TestNothingIsTornUnderAnotherMode(t *testing.T) {
	const lines = 3000 // of 6 bytes: tearAfter is inside of one
	for mode, want := range map[Mode]int{Truncating: truncateAfterBytes / 6, Serve: lines} {
		ledger := NewReconciler(nil)
		c, err := NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "w"}, false, ledger)
		if err != nil {
			t.Fatal(err)
		}
		c.Set(Truncating)
		nc := &turning{rest: strings.NewReader(strings.Repeat("x 1 1\n", lines)), turn: func() { c.Set(mode) }}
		c.read(t.Context(), nc)
		c.Set(Unreachable)
		if got := ledger.Reconcile().Unknown["x"]; got != want {
			t.Errorf("%s: %d lines came, want %d", mode, got, want)
		}
	}
}

// closableBuffer is a buffer that is closed as a file is.
type closableBuffer struct{ bytes.Buffer }

func (*closableBuffer) Close() error { return nil }

func TestRecordingRoundTrip(t *testing.T) {
	var f closableBuffer
	r, err := NewRecording(&f)
	if err != nil {
		t.Fatal(err)
	}
	var want []Sample
	for i := range 3000 {
		for _, s := range intervalSamples(fmt.Sprintf("n %d", i%3), 100, int64(100+i), float64(i), 1, float64(i)*1.5) {
			s.Arrived = time.Duration(i) * time.Millisecond
			want = append(want, s)
			r.Add(s)
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	whole := f.Bytes()
	got, err := ReadRecording(bytes.NewReader(whole))
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Fatal(err, diff)
	}
	// One that breaks off, as its collector was killed, is read as far as it goes.
	got, err = ReadRecording(bytes.NewReader(whole[:len(whole)*3/4]))
	if !errors.Is(err, ErrRecording) && !errors.Is(err, io.ErrUnexpectedEOF) || len(got) == 0 || len(got) >= len(want) {
		t.Fatalf("%d of %d, %v", len(got), len(want), err)
	}
	if diff := cmp.Diff(want[:len(got)], got); diff != "" {
		t.Fatal(diff)
	}
	// A collector that was killed has left what came up to a second before.
	f.Reset()
	if r, err = NewRecording(&f); err != nil {
		t.Fatal(err)
	}
	r.Add(want[0])
	if err := r.flush(); err != nil {
		t.Fatal(err)
	}
	if got, err = ReadRecording(bytes.NewReader(f.Bytes())); len(got) != 1 || err == nil {
		t.Fatalf("%d samples, %v", len(got), err)
	}
	if _, err := ReadRecording(strings.NewReader("no recording")); !errors.Is(err, ErrRecording) {
		t.Fatalf("%v", err)
	}
}
