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
	lossDivisor       = 3 // in mode Lossy one datagram of so many is lost
	reorderWindow     = 8 // in mode Reordering so many datagrams are shuffled at a time
	modeCheckInterval = 20 * time.Millisecond
	maxDatagramBytes  = 1 << 16
)

// Collectd emulates a collectd with the network plugin.
type Collectd struct {
	reader     collectd.Reader
	reconciler *Reconciler
	rng        *rand.Rand // of the goroutine that runs
	addr       string
	held       [][]byte // datagrams to shuffle; of the goroutine that runs

	mu      sync.Mutex // guards what follows
	mode    Mode
	packets int
	lost    int
}

// NewCollectd returns one for an address, as NewCarbon does; it listens from Run on. Losses are drawn from
// a seed.
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
		return nil, fmt.Errorf("collectd emulator: %w", err)
	}
	return c, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("collectd emulator: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("collectd emulator: %w", err)
	}
	return conn, nil
}

// Addr returns where it listens.
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

// DatagramCounts returns how many datagrams came and how many of those were lost on purpose.
func (c *Collectd) DatagramCounts() (came, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.packets, c.lost
}

// Run serves until ctx ends.
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
		_ = conn.Close() // nothing was written to it
		if err != nil {
			return err
		}
	}
	return nil
}

// receive receives datagrams until the mode is Unreachable or ctx ends.
func (c *Collectd) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		mode := c.currentMode()
		if mode == Unreachable {
			return nil
		}
		if err := conn.SetReadDeadline(time.Now().Add(modeCheckInterval)); err != nil {
			return fmt.Errorf("collectd emulator: %w", err)
		}
		n, _, err := conn.ReadFrom(buf)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.flushHeld() // nothing more comes for now
		case err != nil:
			return fmt.Errorf("collectd emulator: %w", err)
		case !c.lose(mode):
			c.held = append(c.held, slices.Clone(buf[:n]))
			if mode != Reordering || len(c.held) >= reorderWindow {
				c.flushHeld()
			}
		}
	}
	return nil
}

// lose counts a datagram and reports whether it is to be lost.
func (c *Collectd) lose(mode Mode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packets++
	if mode != Lossy || c.rng.IntN(lossDivisor) != 0 {
		return false
	}
	c.lost++
	return true
}

// flushHeld consumes the datagrams that are held, in a random order.
func (c *Collectd) flushHeld() {
	c.rng.Shuffle(len(c.held), func(i, j int) { c.held[i], c.held[j] = c.held[j], c.held[i] })
	for _, packet := range c.held {
		c.consume(packet)
	}
	c.held = nil
}

// consume parses a datagram. What precedes a malformed part counts.
func (c *Collectd) consume(packet []byte) {
	if len(packet) > collectd.MaxPacket {
		c.reconciler.AddMalformed(fmt.Sprintf("a packet of %d bytes", len(packet)))
	}
	lists, err := c.reader.Parse(packet)
	if err != nil {
		c.reconciler.AddMalformed(err.Error())
	}
	for _, list := range lists {
		broker, series, err := collectd.Figure(list)
		if err != nil {
			c.reconciler.AddUnknown(err.Error())
			continue
		}
		name := graphite.Name{Broker: broker, Series: series}
		timestamp := int64(list.Time / time.Second)
		for i, v := range list.Values {
			value := v.Gauge
			if v.Kind != collectd.Gauge {
				value = float64(v.Count)
			}
			if metrics.Catalogue[series.Figure].Kind == metrics.DistributionKind {
				name.Stat = metrics.Stats[i]
			}
			c.reconciler.Add(name, value, timestamp)
		}
	}
}
