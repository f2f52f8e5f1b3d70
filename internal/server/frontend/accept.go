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
	"wheatlane/internal/server/netconn"
)

const (
	acceptRetryDelay  = 10 * time.Millisecond // after a failed accept
	acceptLogInterval = time.Second           // between log lines of these
)

// accept serves the clients that connect in goroutines of a group, until ctx ends or the listener is closed after its
// final reads.
func (f *Frontend) accept(ctx context.Context, group *errgroup.Group) error {
	stop := context.AfterFunc(ctx, func() { _ = f.listener.Close() }) // it may have been closed before
	defer stop()
	finalTimeouts, loggedAt := 0, time.Time{}
	for {
		socket, err := f.listener.Accept()
		switch {
		case err == nil:
			f.acceptClient(ctx, group, socket)
		case netconn.IsTimeout(err) && f.inFinalReads():
			if finalTimeouts++; finalTimeouts >= finalReads {
				f.endAccept(ctx)
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
			if f.inFinalReads() { // what waits in the system is accepted before the listener closes
				finalTimeouts = 0
				f.setFinalAcceptDeadline()
			}
		}
	}
}

// endAccept closes the listener, to which nothing more comes.
func (f *Frontend) endAccept(ctx context.Context) {
	_ = f.listener.Close() // nothing is lost by a failure: the process is about to end
	f.loop.Post(ctx, func() { f.listenerClosed = true })
}

// acceptClient serves a client, or rejects it where there are too many connections.
func (f *Frontend) acceptClient(ctx context.Context, group *errgroup.Group, socket net.Conn) {
	openedAt := time.Now()
	peer := socket.RemoteAddr().String()
	select {
	case f.slots <- struct{}{}:
	default:
		// It must not be left waiting in the kernel: what is written there counts as taken, and later
		// requests of the same order key would overtake it.
		f.reject(group, socket, func() {
			f.observer.ConnectionEnded(peer, openedAt, &netconn.EndError{Reason: netconn.TooManyConnections})
		})
		return
	}
	f.lastSession++
	c := newClient(f, f.lastSession, socket)
	// Posted by this goroutine, so that the loop knows of the client before it knows that the listener is closed.
	f.loop.Post(ctx, func() {
		f.clients[c.session] = c
		f.events.Apply(broker.SessionOpened{Session: c.session})
	})
	group.Go(func() error {
		defer func() { <-f.slots }()
		f.observer.ConnectionEnded(peer, openedAt, c.conn.Run(ctx, c.read))
		f.loop.Post(ctx, func() {
			delete(f.clients, c.session)
			f.events.Apply(broker.SessionClosed{Session: c.session})
		})
		return nil
	})
}

// reject answers that there are too many connections, and closes the socket once the client has had time to read that,
// or at once if too many are about to end so. Nothing is read from it. ended is called at its end.
func (f *Frontend) reject(group *errgroup.Group, socket net.Conn, ended func()) {
	answer := mysql.AppendError(nil, mysql.GreetingSequence, mysql.CodeTooManyConnections, "too many connections")
	_, _ = socket.Write(answer) // a new socket has capacity for it; without, its client sees the close
	end := func() {
		_ = socket.Close() // it is rejected in any case
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
