package server

import (
	"context"
	"net"
	"time"

	"wheatlane/internal/invariant"
	"wheatlane/internal/resp"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/transient"
)

const (
	maxEngineReceiveBytes = resp.MaxMessage // of responses that are not parsed yet: one complete message
	maxEngineSendBytes    = 1 << 20         // of messages that wait to be sent
	// localRetryTime is how long a connection is tried again that fails for a fault of this machine.
	localRetryTime = 250 * time.Millisecond
)

// dial begins to establish a connection to an engine. The connection outlives the event that needs it, so its
// context is derived from that of Run.
func (p *enginePool) dial(engine, addr string) *engineConn {
	c := newEngineConn(p.server.ctx, engine, addr)
	p.server.usage.Dials++
	p.connsByEngine[engine] = append(p.connsByEngine[engine], c)
	p.connCount++
	p.server.group.Go(func() error {
		defer c.cancel()
		p.runConn(c.ctx, c)
		return nil
	})
	return c
}

// runConn establishes a connection and reads it until it ends or ctx does, on a goroutine of its own.
func (p *enginePool) runConn(ctx context.Context, c *engineConn) {
	started := time.Now()
	err := p.serveConn(ctx, c)
	localFault := transient.IsLocal(err)
	p.post(func() {
		c.localFault = localFault
		p.disconnected(c)
	})
	if ctx.Err() != nil && p.server.ctx.Err() == nil {
		err = c.closeReason // set before ctx ended
	}
	p.server.connectionEnded(netconn.EngineSide, c.addr, started, err)
}

// serveConn establishes a connection, reads it and returns why it ended.
func (p *enginePool) serveConn(ctx context.Context, c *engineConn) error {
	settings := &p.server.cfg.Settings
	socket, err := connect(ctx, c.addr, settings.ConnectTimeout)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	transport := netconn.New(socket, p.connOptions())
	p.server.post(ctx, func() { p.connected(c, transport) })
	return transport.Run(ctx, func(context.Context) error { return p.readResponses(c, transport) })
}

// connOptions are the limits of connections to engines.
func (p *enginePool) connOptions() netconn.Options {
	return netconn.Options{
		MaxReceiveBytes: maxEngineReceiveBytes, MaxSendBytes: maxEngineSendBytes,
		MaxSendDelay: engineSendDelay(p.server.cfg.Settings.DrainGrace),
		LateAfter:    invariant.TimeoutSlack - staleAfter,
		OnExpired:    func() { p.writesExpired.Store(true) },
	}
}

// connect establishes a connection within a time. It tries again for a while where this machine lacks descriptors,
// ports or buffers, or has no way to the other one for a moment. That while is short, as an attempt that waits
// for its connection for long counts as lost at its engine.
func connect(ctx context.Context, addr string, within time.Duration) (socket net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	err = transient.Retry(ctx, min(within, localRetryTime), transient.IsConnect, func() (err error) {
		socket, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return err
	})
	return socket, err
}

// connected sends what waited for a connection.
func (p *enginePool) connected(c *engineConn, transport *netconn.Conn) {
	if c.closed {
		return
	}
	now := time.Now()
	c.transport, c.lastReceived = transport, now
	for _, s := range c.inOrder() {
		if !s.done {
			p.send(s, now)
		}
	}
}
