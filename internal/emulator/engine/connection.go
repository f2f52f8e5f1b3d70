package engine

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/resp"
)

// brokerConn is a connection from a broker.
type brokerConn struct {
	socket  net.Conn
	answers chan []byte
}

// reset closes the connection with a TCP reset, as a killed process does.
func (c *brokerConn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error, the close is an orderly one
	}
	_ = c.socket.Close() // the broker observes the reset; an error here changes nothing
}

// write writes queued answers until ctx is done or a write fails, then closes the socket.
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

// serve reads a connection until it ends, with a second goroutine that writes its answers.
func (s *Server) serve(ctx context.Context, socket net.Conn) {
	c := &brokerConn{socket: socket, answers: make(chan []byte, maxQueuedAnswers)}
	ctx, cancel := context.WithCancel(ctx)
	s.register(c)
	var writer errgroup.Group
	writer.Go(func() error { return c.write(ctx) })
	s.read(c)
	cancel()
	_ = socket.Close() // the writer may have closed it first
	_ = writer.Wait()  // a write error only means that the connection has ended
	s.unregister(c)
}

func (s *Server) register(c *brokerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.crashed {
		_ = c.socket.Close() // the engine crashed after Accept
	}
}

// unregister removes a connection that has ended and cancels its queries.
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

// read executes the commands of a connection until it ends or sends an invalid command.
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

// send queues an answer, unless the engine is silent. s.mu must be held.
func (s *Server) send(c *brokerConn, parts ...string) {
	if s.silent {
		return
	}
	select {
	case c.answers <- resp.Append(nil, parts...):
	default:
		_ = c.socket.Close() // the queue is full because the broker does not read
	}
}
