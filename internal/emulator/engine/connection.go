package engine

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/resp"
)

// brokerConn is a broker's connection.
type brokerConn struct {
	socket  net.Conn
	answers chan []byte
}

// reset closes the connection as a killed process does.
func (c *brokerConn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is merely an orderly one
	}
	_ = c.socket.Close() // the broker sees the reset; nothing is left to report here
}

// write writes the answers until ctx ends or a write fails, and closes the socket.
func (c *brokerConn) write(ctx context.Context) error {
	defer func() { _ = c.socket.Close() }() // the reader may have closed it first
	for {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-c.answers:
			if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := c.socket.Write(answer); err != nil {
				return err
			}
		}
	}
}

// serve reads a broker's connection until it ends, and writes it in a goroutine of its own.
func (s *Server) serve(ctx context.Context, socket net.Conn) {
	c := &brokerConn{socket: socket, answers: make(chan []byte, maxQueuedAnswers)}
	ctx, cancel := context.WithCancel(ctx)
	s.register(c)
	var writer errgroup.Group
	writer.Go(func() error { return c.write(ctx) })
	s.read(c)
	cancel()
	_ = socket.Close() // the writer may have closed it first
	_ = writer.Wait()  // a connection that ends is no fault of an emulator
	s.unregister(c)
}

func (s *Server) register(c *brokerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.crashed {
		_ = c.socket.Close() // accepted as the engine crashed
	}
}

// unregister cancels all queries of a connection that ended.
func (s *Server) unregister(c *brokerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for requestID, owner := range s.owners {
		if owner == c {
			s.model.Cancel(s.now(), requestID)
			s.endAttempt(requestID)
		}
	}
	s.notifyWorker()
}

// read executes the commands of a connection until it ends or sends something that is none.
func (s *Server) read(c *brokerConn) {
	var unread []byte
	buf := make([]byte, readBufferSize)
	for {
		n, readErr := c.socket.Read(buf)
		unread = append(unread, buf[:n]...)
		used, err := s.processCommands(c, unread)
		unread = append(unread[:0], unread[used:]...)
		if readErr != nil || err != nil {
			return
		}
	}
}

// send queues an answer; s.mu is held.
func (s *Server) send(c *brokerConn, parts ...string) {
	if s.silent {
		return
	}
	select {
	case c.answers <- resp.Append(nil, parts...):
	default:
		_ = c.socket.Close() // the broker reads nothing
	}
}
