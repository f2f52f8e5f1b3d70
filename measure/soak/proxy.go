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
	proxyBacklog    = 4 // connections that the system completes ahead of accept
	proxyBufferSize = 16 << 10
	proxyDialTime   = time.Second
	gatePollTime    = 5 * time.Millisecond
	fillTimeout     = 20 * time.Millisecond // of a connection that only takes a place
)

// direction is a way through a proxy.
type direction int

// The directions.
const (
	toEngine direction = iota
	toBroker
)

// proxy is a TCP proxy that lies between brokers and an engine or the change log, and disturbs what passes.
type proxy struct {
	// ctx bounds the dials behind the proxy. It is that of the run: the faults that reopen the listener end sooner.
	ctx  context.Context
	addr string

	mu       sync.Mutex // guards what follows
	listener net.Listener
	target   string
	links    map[*link]bool
	held     [2]bool // by direction: bytes wait
	holdLast bool    // the last byte of what comes from the engine waits a while
	late     bool    // connections wait to be accepted
	closed   bool
}

// dial connects to a loopback address within a time.
func dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
}

// link is one connection through the proxy.
type link struct{ near, far net.Conn }

func (l *link) close() {
	_ = l.near.Close() // either may be closed already
	_ = l.far.Close()
}

// reset closes both ends by a reset.
func (l *link) reset() {
	for _, conn := range []net.Conn{l.near, l.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close that follows shows in any case
		}
	}
	l.close()
}

// newProxy returns a proxy that listens at a loopback port and leads nowhere yet.
func newProxy(ctx context.Context) (*proxy, error) {
	p := &proxy{ctx: ctx, links: map[*link]bool{}}
	if err := p.listen(0); err != nil {
		return nil, err
	}
	p.addr = p.listener.Addr().String()
	return p, nil
}

// listen listens with a short backlog, so that connections can be kept from coming up.
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
		return fmt.Errorf("proxy: %w", err)
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
		for p.isLate() {
			time.Sleep(gatePollTime)
		}
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) isLate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late && !p.closed
}

func (p *proxy) serve(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := dial(p.ctx, target, proxyDialTime)
	if err != nil {
		(&link{near, near}).reset()
		return
	}
	l := &link{near, far}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(l, near, far, toEngine) })
	both.Go(func() { p.carry(l, far, near, toBroker) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// carry passes bytes on in one direction until that ends, which ends the link.
func (p *proxy) carry(l *link, from, to net.Conn, d direction) {
	defer l.close()
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(l, to, buf[:n], d) {
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

const holdLastTime = 150 * time.Millisecond

// pass writes bytes once nothing holds them; false if the link has ended.
func (p *proxy) pass(l *link, to net.Conn, data []byte, d direction) bool {
	for p.isHeld(l, d) {
		time.Sleep(gatePollTime)
	}
	p.mu.Lock()
	holdLast := p.holdLast && d == toBroker && len(data) > 1
	p.mu.Unlock()
	if holdLast {
		if _, err := to.Write(data[:len(data)-1]); err != nil {
			return false
		}
		time.Sleep(holdLastTime)
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

// hold keeps all bytes of a direction back, or lets them go on.
func (p *proxy) hold(d direction, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = held
}

// setHoldLast keeps the last byte of each message of the engine back for a while.
func (p *proxy) setHoldLast(hold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdLast = hold
}

// resetLinks resets all connections.
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

// refuse closes the listener and all connections until the returned function is called.
func (p *proxy) refuse() (end func() error) {
	p.mu.Lock()
	_ = p.listener.Close() // it is open, and nothing is lost
	port := p.listener.Addr().(*net.TCPAddr).Port
	p.mu.Unlock()
	p.resetLinks()
	return func() error { return p.listen(port) }
}

// delayConnects keeps new connections from coming up until the returned function is called: the queue of the
// listener is filled, so that the system drops what asks for one. It is asked again after a second.
func (p *proxy) delayConnects() (end func()) {
	p.mu.Lock()
	p.late = true
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
			_ = conn.Close() // it only took a place
		}
		p.mu.Lock()
		p.late = false
		p.mu.Unlock()
	}
}

// close ends the proxy.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close() // the run is over
	p.mu.Unlock()
	p.resetLinks()
}
