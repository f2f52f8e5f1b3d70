package enginepool

import (
	"context"
	"errors"
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

// dial begins to establish a connection to an engine. It outlives the event that needs it.
func (p *Pool) dial(engine, addr string) *engineConn {
	conn := newEngineConn(engine, addr)
	p.dials++
	p.connsByEngine[engine] = append(p.connsByEngine[engine], conn)
	p.connCount++
	connectTimeout, options := p.config.ConnectTimeout, p.connOptions()
	conn.cancel = p.loop.Start(func(ctx context.Context) { p.runConn(ctx, conn, connectTimeout, options) })
	return conn
}

// runConn establishes a connection and reads it until it ends or ctx does, on a goroutine of its own.
func (p *Pool) runConn(
	ctx context.Context, conn *engineConn, connectTimeout time.Duration, options netconn.Options,
) {
	started := time.Now()
	err := p.serveConn(ctx, conn, connectTimeout, options)
	localFault := transient.IsLocal(err)
	p.loop.Post(func() {
		conn.localFault = localFault
		p.disconnected(conn)
	})
	var closed *netconn.EndError
	if errors.As(context.Cause(ctx), &closed) { // from this side
		err = closed
	}
	p.observer.ConnectionEnded(conn.addr, started, err)
}

// serveConn establishes a connection, reads it and returns why it ended.
func (p *Pool) serveConn(
	ctx context.Context, conn *engineConn, connectTimeout time.Duration, options netconn.Options,
) error {
	socket, err := connect(ctx, conn.addr, connectTimeout)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	transport := netconn.New(socket, options)
	p.loop.Post(func() { p.connected(conn, transport) })
	return transport.Run(ctx, func(context.Context) error { return p.readResponses(conn, transport) })
}

// connOptions are the limits of connections to engines.
func (p *Pool) connOptions() netconn.Options {
	return netconn.Options{
		MaxReceiveBytes: maxEngineReceiveBytes, MaxSendBytes: maxEngineSendBytes,
		MaxSendDelay: p.config.queueDelay(),
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
func (p *Pool) connected(conn *engineConn, transport *netconn.Conn) {
	if conn.closed {
		return
	}
	now := time.Now()
	conn.transport, conn.lastReceived = transport, now
	for _, stream := range conn.inOrder() {
		if !stream.done {
			p.send(stream, now)
		}
	}
}
