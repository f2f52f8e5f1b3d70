package collector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/graphite"
)

// Mode is how a stand-in behaves.
type Mode string

// The modes of stand-ins.
const (
	Serve       Mode = "serve"
	Unreachable Mode = "gone"    // nothing listens, and open connections are reset
	Silent      Mode = "mute"    // connections are accepted and never read
	Slow        Mode = "slow"    // read at some 2 KB a second
	Truncating  Mode = "tear"    // each connection is reset in the middle of a line
	Lossy       Mode = "lossy"   // a third of the datagrams is lost
	Reordering  Mode = "shuffle" // datagrams come out of order
)

const (
	slowReadBytes      = 256
	slowReadInterval   = 125 * time.Millisecond
	truncateAfterBytes = 10_000 // bytes; the connection is reset at the next byte that is inside of a line
	maxUnreadBytes     = 2 << 20
)

// Carbon is a stand-in for a carbon server.
type Carbon struct {
	Form       graphite.Form
	Pickle     bool
	reconciler *Reconciler

	mu          sync.Mutex
	mode        Mode
	addr        string
	ln          net.Listener  // nil while it is Gone
	modeChanged chan struct{} // closed when the mode changes
	conns       map[net.Conn]bool
}

// NewCarbon returns one that listens at an address; port 0 is any, and the one taken is kept when it comes back.
// Connections that come before Run wait for it.
func NewCarbon(address string, form graphite.Form, pickle bool, ledger *Reconciler) (*Carbon, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return &Carbon{
		Form: form, Pickle: pickle, reconciler: ledger, mode: Serve, addr: ln.Addr().String(), ln: ln,
		modeChanged: make(chan struct{}), conns: map[net.Conn]bool{},
	}, nil
}

// Addr is where it listens.
func (c *Carbon) Addr() string { return c.addr }

// Set changes how it behaves. Once it has returned from a change to Gone, nothing listens, and from one that ends Tear,
// no connection is torn.
func (c *Carbon) Set(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	close(c.modeChanged)
	c.modeChanged = make(chan struct{})
	if m == Unreachable {
		c.shut()
		for nc := range c.conns {
			reset(nc)
		}
	}
}

// shut closes the listener. The caller holds the lock.
func (c *Carbon) shut() {
	if c.ln != nil {
		c.ln.Close()
		c.ln = nil
	}
}

// listener is the one there is, or another at the same address; nil while it is Gone, and at the end.
func (c *Carbon) listener(ctx context.Context) (ln net.Listener, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != Unreachable && c.ln == nil && ctx.Err() == nil {
		if c.ln, err = net.Listen("tcp", c.addr); err != nil {
			return nil, fmt.Errorf("stand-in: %w", err)
		}
	}
	return c.ln, nil
}

func (c *Carbon) currentMode() (Mode, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode, c.modeChanged
}

// reset closes a connection as a process does that is killed.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // it is closed next
	}
	nc.Close()
}

// Run serves until ctx ends.
func (c *Carbon) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.shut()
	})
	defer stop()
	g.Go(func() error {
		for ctx.Err() == nil {
			_, turn := c.currentMode()
			ln, err := c.listener(ctx)
			if err != nil {
				return err
			}
			if ln == nil {
				select {
				case <-ctx.Done():
				case <-turn:
				}
				continue
			}
			c.accept(ctx, g, ln)
		}
		return nil
	})
	return g.Wait()
}

// accept takes connections until the listener is closed.
func (c *Carbon) accept(ctx context.Context, g *errgroup.Group, ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[nc] = true
		if c.mode == Unreachable {
			reset(nc)
		}
		c.mu.Unlock()
		g.Go(func() error {
			stop := context.AfterFunc(ctx, func() { nc.Close() })
			defer stop()
			c.read(ctx, nc)
			nc.Close()
			c.mu.Lock()
			delete(c.conns, nc)
			c.mu.Unlock()
			return nil
		})
	}
}

// tear resets a connection unless the mode has changed meanwhile: what comes under another mode is not torn.
func (c *Carbon) tear(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != Truncating {
		return false
	}
	reset(nc)
	return true
}

// read reads a connection as the mode has it.
func (c *Carbon) read(ctx context.Context, nc net.Conn) {
	var buf []byte
	b := make([]byte, 16<<10)
	total := 0
	for ctx.Err() == nil {
		mode, turn := c.currentMode()
		part := b
		switch mode {
		case Silent:
			select {
			case <-ctx.Done():
			case <-turn:
			}
			continue
		case Slow:
			part = b[:slowReadBytes]
			select {
			case <-ctx.Done():
			case <-turn:
			case <-time.After(slowReadInterval):
			}
		case Truncating:
			part = b[:1]
			if total < truncateAfterBytes {
				part = b[:min(len(b), truncateAfterBytes-total)]
			}
		}
		n, err := nc.Read(part)
		total += n
		buf = append(buf, part[:n]...)
		rest, bad := c.consume(buf)
		buf = append(buf[:0], rest...)
		switch {
		case bad != nil:
			c.reconciler.Broken(bad.Error())
			return
		case err != nil:
			return // what is left of a line is dropped, as carbon does
		case mode == Truncating && total >= truncateAfterBytes && len(buf) > 0 && c.tear(nc):
			return
		}
	}
}

// consume takes what came whole off buf.
func (c *Carbon) consume(buf []byte) ([]byte, error) {
	for {
		var all []graphite.Sample
		var size int
		var err error
		if c.Pickle {
			all, size, err = graphite.ParsePickle(buf)
		} else {
			var s graphite.Sample
			s, size, err = graphite.ParseLine(buf)
			all = []graphite.Sample{s}
		}
		switch {
		case err != nil:
			return nil, err
		case size == 0 && len(buf) > maxUnreadBytes:
			return nil, errors.New("a message without end")
		case size == 0:
			return buf, nil
		}
		buf = buf[size:]
		for _, s := range all {
			n, err := c.Form.Parse(s.Path)
			if err != nil {
				c.reconciler.Unknown(s.Path)
				continue
			}
			c.reconciler.Take(n, s.Value, s.At)
		}
	}
}
