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
	lossDivisor       = 3 // one datagram of so many is lost in Lossy
	reorderWindow     = 8 // datagrams that Shuffle puts out of order at a time
	modeCheckInterval = 20 * time.Millisecond
)

// Collectd is a stand-in for a collectd with the network plugin.
type Collectd struct {
	reader     collectd.Reader
	reconciler *Reconciler
	rng        *rand.Rand
	addr       string

	mu      sync.Mutex
	mode    Mode
	packets int
	lost    int
}

// NewCollectd returns one that listens at an address, as NewCarbon does. Losses are drawn from a seed.
func NewCollectd(address string, reader collectd.Reader, seed uint64, ledger *Reconciler) (*Collectd, error) {
	pc, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	defer pc.Close()
	return &Collectd{
		reader: reader, reconciler: ledger, rng: rand.New(rand.NewPCG(seed, 0)), addr: pc.LocalAddr().String(),
		mode: Serve,
	}, nil
}

// Addr is where it listens.
func (c *Collectd) Addr() string { return c.addr }

// Set changes how it behaves.
func (c *Collectd) Set(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

// Packets are how many datagrams came and how many of those were lost on purpose.
func (c *Collectd) Packets() (came, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.packets, c.lost
}

// Run serves until ctx ends.
func (c *Collectd) Run(ctx context.Context) error {
	var pc net.PacketConn
	defer func() {
		if pc != nil {
			pc.Close()
		}
	}()
	b := make([]byte, 1<<16)
	var held [][]byte
	for ctx.Err() == nil {
		c.mu.Lock()
		mode := c.mode
		c.mu.Unlock()
		switch {
		case mode == Unreachable && pc != nil:
			pc.Close()
			pc = nil
			continue
		case mode == Unreachable:
			select {
			case <-ctx.Done():
			case <-time.After(modeCheckInterval):
			}
			continue
		case pc == nil:
			var err error
			if pc, err = net.ListenPacket("udp", c.addr); err != nil {
				return fmt.Errorf("stand-in: %w", err)
			}
		}
		if err := pc.SetReadDeadline(time.Now().Add(modeCheckInterval)); err != nil {
			return fmt.Errorf("stand-in: %w", err)
		}
		n, _, err := pc.ReadFrom(b)
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return fmt.Errorf("stand-in: %w", err)
			}
			c.flushHeld(&held) // nothing more comes for now
			continue
		}
		c.mu.Lock()
		c.packets++
		lose := mode == Lossy && c.rng.IntN(lossDivisor) == 0
		if lose {
			c.lost++
		}
		c.mu.Unlock()
		if lose {
			continue
		}
		held = append(held, slices.Clone(b[:n]))
		if mode == Reordering && len(held) < reorderWindow {
			continue
		}
		c.flushHeld(&held)
	}
	return nil
}

// flushHeld takes what is held, in another order where it is several.
func (c *Collectd) flushHeld(held *[][]byte) {
	c.rng.Shuffle(len(*held), func(i, j int) { (*held)[i], (*held)[j] = (*held)[j], (*held)[i] })
	for _, packet := range *held {
		c.consume(packet)
	}
	*held = nil
}

// consume reads a datagram.
func (c *Collectd) consume(packet []byte) {
	if len(packet) > collectd.MaxPacket {
		c.reconciler.Broken(fmt.Sprintf("a packet of %d bytes", len(packet)))
	}
	lists, err := c.reader.Parse(packet)
	if err != nil {
		c.reconciler.Broken(err.Error())
	}
	for _, l := range lists {
		broker, s, err := collectd.Figure(l)
		if err != nil {
			c.reconciler.Unknown(err.Error())
			continue
		}
		n := graphite.Name{Broker: broker, Series: s}
		at := int64(l.Time / time.Second)
		for i, v := range l.Values {
			x := v.Gauge
			if v.Kind != collectd.Gauge {
				x = float64(v.Count)
			}
			if metrics.Catalogue[s.Figure].Kind == metrics.DistributionKind {
				n.Stat = metrics.Stats[i]
			}
			c.reconciler.Take(n, x, at)
		}
	}
}
