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

const (
	slowReadBytes      = 256
	slowReadInterval   = 125 * time.Millisecond
	truncateAfterBytes = 10_000 // a connection is reset at the next byte that is inside of a line
	maxUnreadBytes     = 2 << 20
	readBufferBytes    = 16 << 10
)

var errMessageTooLong = errors.New("a message without end")

// Carbon emulates a carbon server.
type Carbon struct {
	Form       graphite.PathFormat
	Pickle     bool // it reads the pickle protocol, not lines
	reconciler *Reconciler
	addr       string

	mu          sync.Mutex // guards what follows
	mode        Mode
	modeChanged chan struct{} // closed when the mode changes
	listener    net.Listener  // nil while it is Unreachable
	conns       map[net.Conn]bool
}

// NewCarbon returns a server that listens at an address already; port 0 is any, and the one taken is kept
// when it becomes reachable again. Connections that come before Run wait for it.
func NewCarbon(address string, form graphite.PathFormat, pickle bool, reconciler *Reconciler) (*Carbon, error) {
	listener, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	return &Carbon{
		Form: form, Pickle: pickle, reconciler: reconciler, addr: listener.Addr().String(),
		mode: Serve, modeChanged: make(chan struct{}), listener: listener, conns: map[net.Conn]bool{},
	}, nil
}

func listenTCP(address string) (net.Listener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("carbon emulator: %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("carbon emulator: %w", err)
	}
	return listener, nil
}

// Addr returns where the server listens.
func (c *Carbon) Addr() string { return c.addr }

// SetMode changes the mode. Once it has returned from a change to Unreachable, nothing listens, and from one
// that ends Truncating, no connection is truncated.
func (c *Carbon) SetMode(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	close(c.modeChanged)
	c.modeChanged = make(chan struct{})
	if m == Unreachable {
		c.closeListener()
		for conn := range c.conns {
			reset(conn)
		}
	}
}

// closeListener closes the listener; c.mu is held.
func (c *Carbon) closeListener() {
	if c.listener != nil {
		_ = c.listener.Close() // what accepts sees the end
		c.listener = nil
	}
}

// currentListener returns the listener, opened again where the mode asks for one; nil while the server is
// Unreachable, and once ctx has ended.
func (c *Carbon) currentListener(ctx context.Context) (net.Listener, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode == Unreachable || ctx.Err() != nil || c.listener != nil {
		return c.listener, nil
	}
	listener, err := listenTCP(c.addr)
	if err != nil {
		return nil, err
	}
	c.listener = listener
	return listener, nil
}

func (c *Carbon) currentMode() (mode Mode, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode, c.modeChanged
}

// Run serves until ctx ends.
func (c *Carbon) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeListener()
	})
	defer stop()
	g.Go(func() error {
		for ctx.Err() == nil {
			_, changed := c.currentMode()
			listener, err := c.currentListener(ctx)
			if err != nil {
				return err
			}
			if listener == nil {
				wait(ctx, changed)
				continue
			}
			c.accept(ctx, g, listener)
		}
		return nil
	})
	return g.Wait()
}

// wait waits for a change of the mode or the end of ctx.
func wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// accept reads each connection in a goroutine of g, until the listener is closed.
func (c *Carbon) accept(ctx context.Context, g *errgroup.Group, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c.register(conn)
		g.Go(func() error {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the reader sees the end
			defer stop()
			c.read(ctx, conn)
			_ = conn.Close() // it may have been reset
			c.unregister(conn)
			return nil
		})
	}
}

func (c *Carbon) register(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	if c.mode == Unreachable { // accepted as the mode changed
		reset(conn)
	}
}

func (c *Carbon) unregister(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// truncate resets a connection unless the mode has changed meanwhile: what comes under another mode is not
// truncated.
func (c *Carbon) truncate(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != Truncating {
		return false
	}
	reset(conn)
	return true
}

// readSize returns how many bytes the next read takes, after so many in all, and waits as the mode has it;
// 0 while nothing may be read.
func readSize(ctx context.Context, mode Mode, changed <-chan struct{}, total int) int {
	switch mode {
	case Silent:
		wait(ctx, changed)
		return 0
	case Slow:
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(slowReadInterval):
		}
		return slowReadBytes
	case Truncating:
		if total < truncateAfterBytes {
			return min(readBufferBytes, truncateAfterBytes-total)
		}
		return 1
	case Serve, Unreachable, Lossy, Reordering:
	}
	return readBufferBytes
}

// read reads a connection as the mode has it, until it ends.
func (c *Carbon) read(ctx context.Context, conn net.Conn) {
	var unread []byte
	buf := make([]byte, readBufferBytes)
	total := 0
	for ctx.Err() == nil {
		mode, changed := c.currentMode()
		size := readSize(ctx, mode, changed, total)
		if size == 0 {
			continue
		}
		n, readErr := conn.Read(buf[:size])
		total += n
		unread = append(unread, buf[:n]...)
		rest, err := c.consume(unread)
		unread = append(unread[:0], rest...)
		switch {
		case err != nil:
			c.reconciler.AddMalformed(err.Error())
			return
		case readErr != nil:
			return // what is left of a line is dropped, as carbon does
		case mode == Truncating && total >= truncateAfterBytes && len(unread) > 0 && c.truncate(conn):
			return
		}
	}
}

// consume takes the complete messages at the start of unread and returns the rest.
func (c *Carbon) consume(unread []byte) ([]byte, error) {
	for {
		samples, size, err := c.parse(unread)
		switch {
		case err != nil:
			return nil, err
		case size == 0 && len(unread) > maxUnreadBytes:
			return nil, errMessageTooLong
		case size == 0:
			return unread, nil
		}
		unread = unread[size:]
		for _, s := range samples {
			name, err := c.Form.Parse(s.Path)
			if err != nil {
				c.reconciler.AddUnknown(s.Path)
				continue
			}
			c.reconciler.Add(name, s.Value, s.Timestamp)
		}
	}
}

// parse parses the first message; size is 0 if it is not complete.
func (c *Carbon) parse(unread []byte) (samples []graphite.Sample, size int, err error) {
	if c.Pickle {
		return graphite.ParsePickle(unread)
	}
	s, size, err := graphite.ParseLine(unread)
	return []graphite.Sample{s}, size, err
}
