package server

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

const (
	acceptRetryDelay  = 10 * time.Millisecond // after a failed accept
	acceptLogInterval = time.Second           // between log lines of these
)

// accept serves the clients that connect, until ctx ends or a shutdown closes the listener.
func (s *Server) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() }) // a shutdown may have closed it
	defer stop()
	finalTimeouts, loggedAt := 0, time.Time{}
	for {
		socket, err := s.listener.Accept()
		switch {
		case err == nil:
			s.acceptClient(ctx, socket)
		case netconn.IsTimeout(err) && s.closingListeners():
			if finalTimeouts++; s.listenerTimedOut(finalTimeouts) {
				return nil
			}
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		default:
			if time.Since(loggedAt) > acceptLogInterval {
				loggedAt = time.Now()
				s.log.Warn("accept failed", zap.Error(err))
			}
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			if s.closingListeners() { // what waits in the system is accepted before the listener closes
				finalTimeouts = 0
				s.setFinalAcceptDeadline()
			}
		}
	}
}

// acceptClient serves a client in goroutines of its own, or rejects it where there are too many sockets.
func (s *Server) acceptClient(ctx context.Context, socket net.Conn) {
	openedAt := time.Now()
	peer := socket.RemoteAddr().String()
	select {
	case s.clientSlots <- struct{}{}:
	default:
		// It must not be left waiting in the kernel: what is written there counts as taken, and later
		// requests of the same order key would overtake it.
		s.rejectConnection(socket, func() {
			s.connectionEnded(netconn.ClientSide, peer, openedAt, &netconn.EndError{Reason: netconn.TooManyConnections})
		})
		return
	}
	s.lastSession++
	c := newClient(s, s.lastSession, socket)
	// Posted by this goroutine, so that the loop hears of the client before it hears that all were accepted.
	s.post(ctx, func() {
		s.clients[c.id] = c
		s.apply(broker.SessionOpened{Session: c.id})
	})
	s.group.Go(func() error {
		defer func() { <-s.clientSlots }()
		s.connectionEnded(netconn.ClientSide, peer, openedAt, c.conn.Run(ctx, c.read))
		s.post(ctx, func() {
			delete(s.clients, c.id)
			s.apply(broker.SessionClosed{Session: c.id})
		})
		return nil
	})
}

// rejectConnection answers that there are too many connections, and closes the socket once the client has had time
// to read that, or at once if too many are about to end so. Nothing is read from it. ended is called at its end.
func (s *Server) rejectConnection(socket net.Conn, ended func()) {
	answer := mysql.AppendError(nil, 0, mysql.CodeConnections, "too many connections")
	_, _ = socket.Write(answer) // a new socket has room for it; without, its client sees the close
	end := func() {
		_ = socket.Close() // it is rejected in any case
		ended()
	}
	select {
	case s.rejectSlots <- struct{}{}:
		s.group.Go(func() error {
			defer func() { <-s.rejectSlots }()
			netconn.Linger(socket)
			end()
			return nil
		})
	default:
		end()
	}
}
