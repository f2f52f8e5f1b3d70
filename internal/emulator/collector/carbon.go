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
	truncateAfterBytes = 10_000 // beyond it, mode Truncating resets a connection at the next byte inside a line
	maxUnreadBytes     = 2 << 20
	readBufferBytes    = 16 << 10
)

var errMessageTooLong = errors.New("a message without end")

// Carbon emulates a carbon server.
type Carbon struct {
	Form       graphite.PathFormat
	Pickle     bool // reads the pickle protocol instead of the plaintext protocol
	reconciler *Reconciler
	addr       string

	mu          sync.Mutex // guards the fields below
	mode        Mode
	modeChanged chan struct{} // closed at the next mode change
	listener    net.Listener  // nil while the mode is Unreachable
	conns       map[net.Conn]bool
}

// NewCarbon returns a server that already listens at an address; port 0 selects a free port, which stays the same when
// the server becomes reachable again. Connections wait in the backlog until Run is called.
func NewCarbon(address string, format graphite.PathFormat, pickle bool, reconciler *Reconciler) (*Carbon, error) {
	listener, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	return &Carbon{
		Form: format, Pickle: pickle, reconciler: reconciler, addr: listener.Addr().String(),
		mode: Serve, modeChanged: make(chan struct{}), listener: listener, conns: map[net.Conn]bool{},
	}, nil
}

func listenTCP(address string) (net.Listener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("carbon emulator: resolve address: %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("carbon emulator: %w", err)
	}
	return listener, nil
}

// Addr returns the address that the server listens at.
func (c *Carbon) Addr() string { return c.addr }

// SetMode changes the mode. Once a change to Unreachable returns, nothing listens; once a change from Truncating
// returns, no connection is truncated.
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

// closeListener closes the listener. c.mu must be held.
func (c *Carbon) closeListener() {
	if c.listener != nil {
		_ = c.listener.Close() // Accept returns an error
		c.listener = nil
	}
}

// currentListener returns the listener, which it opens again if the mode requires one. It returns nil while the mode
// is Unreachable, and once ctx is done.
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

// Run serves until ctx is done.
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
				waitForChange(ctx, changed)
				continue
			}
			c.accept(ctx, g, listener)
		}
		return nil
	})
	return g.Wait()
}

// waitForChange waits until the mode changes or ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}) {
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
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the read
			defer stop()
			c.read(ctx, conn)
			_ = conn.Close() // may have been reset already
			c.unregister(conn)
			return nil
		})
	}
}

func (c *Carbon) register(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	if c.mode == Unreachable { // the mode changed after Accept
		reset(conn)
	}
}

func (c *Carbon) unregister(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// truncate resets a connection and reports whether it did so. It does nothing if the mode has changed in the meantime,
// as lines received in another mode must be complete.
func (c *Carbon) truncate(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != Truncating {
		return false
	}
	reset(conn)
	return true
}

// readSize returns the maximum size of the next read of a connection from which total bytes were read, 0 while nothing
// may be read. It first waits as the mode requires.
func readSize(ctx context.Context, mode Mode, changed <-chan struct{}, total int) int {
	switch mode {
	case Silent:
		waitForChange(ctx, changed)
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

// read reads a connection at the pace of the current mode, until the connection ends.
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
		remaining, err := c.consume(unread)
		unread = append(unread[:0], remaining...)
		switch {
		case err != nil:
			c.reconciler.AddMalformed(err.Error())
			return
		case readErr != nil:
			return // drops the incomplete last line, as carbon does
		case mode == Truncating && total >= truncateAfterBytes && len(unread) > 0 && c.truncate(conn):
			return
		}
	}
}

// consume adds the samples of the complete messages at the start of unread and returns the remaining bytes.
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

// parse parses the first message; size is 0 if the message is incomplete.
func (c *Carbon) parse(unread []byte) (samples []graphite.Sample, size int, err error) {
	if c.Pickle {
		return graphite.ParsePickle(unread)
	}
	s, size, err := graphite.ParseLine(unread)
	return []graphite.Sample{s}, size, err
}
