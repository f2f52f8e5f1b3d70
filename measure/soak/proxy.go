package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	proxyBacklog    = 4 // connections that the kernel completes before accept
	proxyBufferSize = 16 << 10
	proxyDialTime   = time.Second
	pollInterval    = 5 * time.Millisecond
	fillTimeout     = 20 * time.Millisecond // for a connection that only fills the accept queue
)

// direction is a direction of data through a proxy.
type direction int

// The directions; the server behind a proxy is an engine or the change log.
const (
	toServer direction = iota
	toBroker
)

// proxy is a TCP proxy between brokers and an engine or the change log. It injects network faults.
type proxy struct {
	// ctx bounds the dials to the target. It is the context of the run, as the contexts of the faults that reopen
	// the listener end earlier.
	ctx  context.Context
	addr string

	mu           sync.Mutex // guards the fields below
	listener     net.Listener
	target       string
	links        map[*link]bool
	held         [2]bool // by direction: bytes are held
	delayLast    bool    // the last byte of each read from the server is delayed
	acceptPaused bool    // new connections are not accepted
	closed       bool
}

// dial connects to a loopback address within a timeout.
func dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
}

// link is one connection through the proxy.
type link struct{ brokerConn, serverConn net.Conn }

func (l *link) close() {
	_ = l.brokerConn.Close() // either may be closed already
	_ = l.serverConn.Close()
}

// reset closes both connections by a TCP reset.
func (l *link) reset() {
	for _, conn := range []net.Conn{l.brokerConn, l.serverConn} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // if this fails, the connection is closed without a reset
		}
	}
	l.close()
}

// newProxy returns a proxy that listens at a loopback port. It has no target yet.
func newProxy(ctx context.Context) (*proxy, error) {
	p := &proxy{ctx: ctx, links: map[*link]bool{}}
	if err := p.listen(0); err != nil {
		return nil, err
	}
	p.addr = p.listener.Addr().String()
	return p, nil
}

// listen listens with a short backlog, so that delayConnects can fill the accept queue.
func (p *proxy) listen(port int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	file := os.NewFile(uintptr(fd), "proxy")
	defer func() { _ = file.Close() }() // the listener has a duplicate
	err = errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, proxyBacklog),
	)
	if err != nil {
		return fmt.Errorf("proxy: listen: %w", err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.accept(listener)
	return nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		for p.isAcceptPaused() {
			time.Sleep(pollInterval)
		}
		brokerConn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(brokerConn)
	}
}

func (p *proxy) isAcceptPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptPaused && !p.closed
}

func (p *proxy) serve(brokerConn net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	serverConn, err := dial(p.ctx, target, proxyDialTime)
	if err != nil {
		(&link{brokerConn, brokerConn}).reset()
		return
	}
	l := &link{brokerConn, serverConn}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(l, brokerConn, serverConn, toServer) })
	both.Go(func() { p.forward(l, serverConn, brokerConn, toBroker) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// forward forwards bytes in one direction until that direction ends, and then closes the link.
func (p *proxy) forward(l *link, from, to net.Conn, d direction) {
	defer l.close()
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.write(l, to, buf[:n], d) {
			return
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				l.reset()
			}
			return
		}
	}
}

const lastByteDelay = 150 * time.Millisecond

// write writes data once no fault holds the direction. It reports whether the write succeeded.
func (p *proxy) write(l *link, to net.Conn, data []byte, d direction) bool {
	for p.isHeld(l, d) {
		time.Sleep(pollInterval)
	}
	p.mu.Lock()
	delayLast := p.delayLast && d == toBroker && len(data) > 1
	p.mu.Unlock()
	if delayLast {
		if _, err := to.Write(data[:len(data)-1]); err != nil {
			return false
		}
		time.Sleep(lastByteDelay)
		data = data[len(data)-1:]
	}
	_, err := io.Writer(to).Write(data)
	return err == nil
}

func (p *proxy) isHeld(l *link, d direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[d] && p.links[l] && !p.closed
}

func (p *proxy) setTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// setHeld holds all bytes of a direction, or releases them.
func (p *proxy) setHeld(d direction, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = held
}

// setDelayLast sets whether the last byte of each message from the server is delayed by lastByteDelay.
func (p *proxy) setDelayLast(delay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayLast = delay
}

// resetLinks resets all connections through the proxy.
func (p *proxy) resetLinks() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
}

// refuse closes the listener and resets all connections. New connections are refused until the returned function is
// called.
func (p *proxy) refuse() (end func() error) {
	p.mu.Lock()
	_ = p.listener.Close() // the listener is open; there is no error to handle
	port := p.listener.Addr().(*net.TCPAddr).Port
	p.mu.Unlock()
	p.resetLinks()
	return func() error { return p.listen(port) }
}

// delayConnects delays new connections until the returned function is called: it fills the accept queue, so that the
// kernel drops the SYN of a new connection. TCP sends the SYN again after 1 s.
func (p *proxy) delayConnects() (end func()) {
	p.mu.Lock()
	p.acceptPaused = true
	p.mu.Unlock()
	var fillers []net.Conn
	for range proxyBacklog + 2 {
		conn, err := dial(p.ctx, p.addr, fillTimeout)
		if err != nil {
			break // the queue is full
		}
		fillers = append(fillers, conn)
	}
	return func() {
		for _, conn := range fillers {
			_ = conn.Close() // it only filled the queue
		}
		p.mu.Lock()
		p.acceptPaused = false
		p.mu.Unlock()
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close() // the run is over
	p.mu.Unlock()
	p.resetLinks()
}
