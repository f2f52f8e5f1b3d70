package frontend

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

const (
	acceptRetryDelay  = 10 * time.Millisecond // after a failed accept
	acceptLogInterval = time.Second           // minimum time between log lines of failed accepts
)

// accept accepts clients and serves them in goroutines of a group, until ctx ends or the listener is closed after its
// final reads.
func (f *Frontend) accept(ctx context.Context, group *errgroup.Group) error {
	stop := context.AfterFunc(ctx, func() { _ = f.listener.Close() }) // may already be closed
	defer stop()
	finalTimeouts, loggedAt := 0, time.Time{}
	for {
		socket, err := f.listener.Accept()
		switch {
		case err == nil:
			f.acceptClient(ctx, group, socket)
		case netconn.IsTimeout(err) && f.inFinalReads():
			if finalTimeouts++; finalTimeouts >= finalReads {
				f.closeListener(ctx)
				return nil
			}
			f.setFinalAcceptDeadline()
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		default:
			if time.Since(loggedAt) > acceptLogInterval {
				loggedAt = time.Now()
				f.cfg.Log.Warn("accept failed", zap.Error(err))
			}
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			if f.inFinalReads() { // connections in the accept queue are accepted before the listener closes
				finalTimeouts = 0
				f.setFinalAcceptDeadline()
			}
		}
	}
}

// closeListener closes the listener after its final reads.
func (f *Frontend) closeListener(ctx context.Context) {
	_ = f.listener.Close() // an error has no consequence: the process is about to end
	f.loop.Post(ctx, func() { f.listenerClosed = true })
}

// acceptClient serves a client, or rejects it if there are too many connections.
func (f *Frontend) acceptClient(ctx context.Context, group *errgroup.Group, socket net.Conn) {
	openedAt := time.Now()
	peer := socket.RemoteAddr().String()
	select {
	case f.slots <- struct{}{}:
	default:
		// The connection must not wait in the kernel's accept queue: requests that the client writes there count as
		// accepted, and later requests of the same order key would overtake them.
		f.reject(group, socket, func() {
			f.observer.ConnectionEnded(ConnectionEnd{
				Peer: peer, OpenedAt: openedAt, Idle: time.Since(openedAt),
				Err: &netconn.EndError{Reason: netconn.TooManyConnections},
			})
		})
		return
	}
	c := newClient(f, f.cfg.NextSession(), socket)
	// Posted by this goroutine, so that the loop registers the client before it is notified that the listener is closed.
	f.loop.Post(ctx, func() {
		f.clients[c.session] = c
		f.events.Apply(broker.SessionOpened{Session: c.session})
	})
	group.Go(func() error {
		defer func() { <-f.slots }()
		err := c.conn.Run(ctx, c.read)
		f.observer.ConnectionEnded(ConnectionEnd{
			Peer: peer, Session: c.session, OpenedAt: openedAt, Idle: clock.Now() - c.lastReadAt, Err: err,
		})
		f.loop.Post(ctx, func() {
			delete(f.clients, c.session)
			f.events.Apply(broker.SessionClosed{Session: c.session})
		})
		return nil
	})
}

// reject sends the error for too many connections. It closes the socket after the client has had time to read the
// error, or immediately if too many rejected connections are still open. It reads nothing from the socket. ended is
// called after the close.
func (f *Frontend) reject(group *errgroup.Group, socket net.Conn, ended func()) {
	rejection := mysql.AppendError(nil, mysql.GreetingSequence, mysql.CodeTooManyConnections, "too many connections")
	_, _ = socket.Write(rejection) // fits into the buffer of a new socket; if it fails, the client detects the close
	end := func() {
		_ = socket.Close() // an error does not matter: the connection is rejected anyway
		ended()
	}
	select {
	case f.rejectSlots <- struct{}{}:
		group.Go(func() error {
			defer func() { <-f.rejectSlots }()
			netconn.Linger(socket)
			end()
			return nil
		})
	default:
		end()
	}
}
