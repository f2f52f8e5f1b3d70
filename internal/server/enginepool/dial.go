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
	maxEngineReceiveBytes = resp.MaxMessage // received and not parsed yet: one complete message
	maxEngineSendBytes    = 1 << 20         // queued to be sent
	// localFaultRetryTime is the time during which a dial that fails for a fault of this machine is retried.
	localFaultRetryTime = 250 * time.Millisecond
)

// dial begins to establish a connection to an engine. The connection stays open after the stream for which it is dialed
// has ended.
func (p *Pool) dial(engine, addr string) *engineConn {
	conn := newEngineConn(engine, addr)
	p.dials++
	p.connsByEngine[engine] = append(p.connsByEngine[engine], conn)
	p.connCount++
	connectTimeout, options := p.config.ConnectTimeout, p.connOptions()
	conn.cancel = p.loop.Start(func(ctx context.Context) { p.runConn(ctx, conn, connectTimeout, options) })
	return conn
}

// runConn establishes a connection and reads from it until the connection or ctx ends. It runs on a separate goroutine.
func (p *Pool) runConn(
	ctx context.Context, conn *engineConn, connectTimeout time.Duration, options netconn.Options,
) {
	started := time.Now()
	err := p.serveConn(ctx, conn, connectTimeout, options)
	localFault := transient.IsLocalError(err)
	p.loop.Post(func() {
		conn.localFault = localFault
		p.handleDisconnected(conn)
	})
	var closed *netconn.EndError
	if errors.As(context.Cause(ctx), &closed) { // closed by the broker
		err = closed
	}
	p.observer.ConnectionEnded(conn.addr, started, err)
}

// serveConn establishes a connection, reads from it and returns the reason for its end.
func (p *Pool) serveConn(
	ctx context.Context, conn *engineConn, connectTimeout time.Duration, options netconn.Options,
) error {
	socket, err := connect(ctx, conn.addr, connectTimeout)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	transport := netconn.New(socket, options)
	p.loop.Post(func() { p.handleConnected(conn, transport) })
	return transport.Run(ctx, func(context.Context) error { return p.readResponses(conn, transport) })
}

// connOptions returns the options of connections to engines.
func (p *Pool) connOptions() netconn.Options {
	return netconn.Options{
		MaxReceiveBytes: maxEngineReceiveBytes, MaxSendBytes: maxEngineSendBytes,
		MaxSendDelay: p.config.queueDelay(),
		LateAfter:    invariant.TimeoutSlack - staleAfter,
		OnExpired:    func() { p.writesExpired.Store(true) },
	}
}

// connect establishes a connection within a timeout. It retries for up to localFaultRetryTime if this machine
// temporarily lacks descriptors, ports, buffers or a route to the engine. This time is short, because an attempt that
// waits long for its connection counts as lost at its engine.
func connect(ctx context.Context, addr string, timeout time.Duration) (socket net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = transient.Retry(ctx, min(timeout, localFaultRetryTime), transient.IsConnectError, func() (err error) {
		socket, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return err
	})
	return socket, err
}

// handleConnected sends the streams that waited for the connection.
func (p *Pool) handleConnected(conn *engineConn, transport *netconn.Conn) {
	if conn.closed {
		return
	}
	now := time.Now()
	conn.transport, conn.lastReceived = transport, now
	for _, stream := range conn.streamsByStart() {
		if !stream.done {
			p.send(stream, now)
		}
	}
}
