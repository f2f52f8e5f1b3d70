package collector

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"wheatlane/internal/collectd"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

const (
	lossDivisor       = 3 // mode Lossy loses one datagram in this number
	reorderWindow     = 8 // datagrams that mode Reordering shuffles at a time
	modeCheckInterval = 20 * time.Millisecond
	maxDatagramBytes  = 1 << 16
)

// Collectd emulates a collectd with the network plugin.
type Collectd struct {
	reader     collectd.Reader
	reconciler *Reconciler
	rng        *rand.Rand // used by Run's goroutine only
	addr       string
	buffered   [][]byte // datagrams to shuffle; used by Run's goroutine only

	mu      sync.Mutex // guards the fields below
	mode    Mode
	packets int
	lost    int
}

// NewCollectd returns a collectd for an address; port 0 selects a free port, which stays the same from then on. It
// listens once Run is called. seed determines the datagrams that are lost or reordered.
func NewCollectd(
	address string, reader collectd.Reader, seed uint64, reconciler *Reconciler,
) (*Collectd, error) {
	conn, err := listenUDP(address)
	if err != nil {
		return nil, err
	}
	c := &Collectd{
		reader: reader, reconciler: reconciler, rng: rand.New(rand.NewPCG(seed, 0)), mode: Serve,
		addr: conn.LocalAddr().String(),
	}
	if err := conn.Close(); err != nil {
		return nil, fmt.Errorf("collectd emulator: close probe socket: %w", err)
	}
	return c, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("collectd emulator: resolve address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("collectd emulator: %w", err)
	}
	return conn, nil
}

// Addr returns the address that the emulator listens at.
func (c *Collectd) Addr() string { return c.addr }

// SetMode changes the mode.
func (c *Collectd) SetMode(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

func (c *Collectd) currentMode() Mode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

// DatagramCounts returns the number of datagrams received, and how many of these were lost in mode Lossy.
func (c *Collectd) DatagramCounts() (received, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.packets, c.lost
}

// Run serves until ctx is done.
func (c *Collectd) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.currentMode() == Unreachable {
			select {
			case <-ctx.Done():
			case <-time.After(modeCheckInterval):
			}
			continue
		}
		conn, err := listenUDP(c.addr)
		if err != nil {
			return err
		}
		err = c.receive(ctx, conn)
		_ = conn.Close() // only read from
		if err != nil {
			return err
		}
	}
	return nil
}

// receive receives datagrams until the mode is Unreachable or ctx is done.
func (c *Collectd) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		mode := c.currentMode()
		if mode == Unreachable {
			return nil
		}
		if err := conn.SetReadDeadline(time.Now().Add(modeCheckInterval)); err != nil {
			return fmt.Errorf("collectd emulator: set read deadline: %w", err)
		}
		n, _, err := conn.ReadFrom(buf)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.flushBuffered() // no datagram arrived for modeCheckInterval
		case err != nil:
			return fmt.Errorf("collectd emulator: receive datagram: %w", err)
		case !c.countAndDrop(mode):
			c.buffered = append(c.buffered, slices.Clone(buf[:n]))
			if mode != Reordering || len(c.buffered) >= reorderWindow {
				c.flushBuffered()
			}
		}
	}
	return nil
}

// countAndDrop counts a datagram and reports whether it is to be dropped.
func (c *Collectd) countAndDrop(mode Mode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packets++
	if mode != Lossy || c.rng.IntN(lossDivisor) != 0 {
		return false
	}
	c.lost++
	return true
}

// flushBuffered consumes the buffered datagrams in random order.
func (c *Collectd) flushBuffered() {
	c.rng.Shuffle(len(c.buffered), func(i, j int) { c.buffered[i], c.buffered[j] = c.buffered[j], c.buffered[i] })
	for _, packet := range c.buffered {
		c.consume(packet)
	}
	c.buffered = nil
}

// consume parses a datagram and adds its samples. Samples ahead of a malformed part count.
func (c *Collectd) consume(packet []byte) {
	if len(packet) > collectd.MaxPacketBytes {
		c.reconciler.AddMalformed(fmt.Sprintf("a packet of %d bytes", len(packet)))
	}
	lists, err := c.reader.Parse(packet)
	if err != nil {
		c.reconciler.AddMalformed(err.Error())
	}
	for _, list := range lists {
		broker, series, err := collectd.ParseSeries(list)
		if err != nil {
			c.reconciler.AddUnknown(err.Error())
			continue
		}
		name := graphite.MetricName{Broker: broker, Series: series}
		timestamp := int64(list.Time / time.Second)
		for i, v := range list.Values {
			value := v.Gauge
			if v.Kind != collectd.Gauge {
				value = float64(v.Count)
			}
			if metrics.Catalogue[series.ID].Kind == metrics.DistributionKind {
				name.Stat = metrics.StatNames[i]
			}
			c.reconciler.Add(name, value, timestamp)
		}
	}
}
