package server

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
)

const (
	maxClientReceiveBytes = mysql.MaxPacket + mysql.HeaderLen // a complete packet
	maxClientSendBytes    = 256 << 10                         // several complete results

	// The protocol owes an end within 3 s to whoever sends nothing, or begins a message and does not
	// complete it.
	loginTimeout          = 2 * time.Second
	partialMessageTimeout = 2 * time.Second
	clientIdleMargin      = time.Minute // beyond the longest client timeout; clients close sooner

	lingerDuration = 200 * time.Millisecond // the last answer gets so long to be read before the close
	maxLingerBytes = 1 << 20
)

// client is a client's connection. Without another note a field belongs to the goroutine that reads.
type client struct {
	server   *Server
	id       broker.Session
	conn     *bufferedConn
	admitted chan struct{} // closed once the client may be greeted

	loggedIn       bool
	partialMessage bool // a part of a message was received
	readTimeout    time.Duration
	hasSubmitted   bool // a request came on it
	finalTimeouts  int  // final reads of a shutdown that found the socket empty

	fullyRead bool // the final reads are complete and all that came is with the reducer; owned by the loop
}

func newClient(s *Server, id broker.Session, socket net.Conn) *client {
	return &client{
		server: s, id: id, admitted: make(chan struct{}),
		conn: newBufferedConn(socket, 0, maxClientReceiveBytes, maxClientSendBytes),
	}
}

// read greets a client once it is admitted, logs it in and hands its commands to the reducer, until its
// connection ends.
func (c *client) read(ctx context.Context) error {
	select {
	case <-c.admitted:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := c.greet(); err != nil {
		return err
	}
	c.readTimeout = loginTimeout
	if err := c.setReadTimeout(c.readTimeout); err != nil {
		return err
	}
	for {
		if _, err := c.conn.received.ReadOnce(c.conn.socket); err != nil {
			if err := c.readFailed(ctx, err); err != nil {
				return err
			}
			continue
		}
		if err := c.handlePackets(ctx); err != nil {
			return err
		}
		if err := c.updateReadTimeout(); err != nil {
			return err
		}
	}
}

// readFailed returns why the connection ends, or nil where the reader is to go on.
func (c *client) readFailed(ctx context.Context, err error) error {
	switch {
	case isTimeout(err) && c.finalRead():
		return c.setReadTimeout(c.readTimeout)
	case isTimeout(err) && !c.loggedIn:
		return &endError{LoginTimeout, err}
	case isTimeout(err) && c.partialMessage:
		return &endError{ReadTimeout, err}
	case errors.Is(err, io.EOF):
		return c.halfClosed(ctx, err)
	}
	return err
}

// handlePackets handles the complete packets that were received.
func (c *client) handlePackets(ctx context.Context) error {
	sentAt := now() - c.server.sinceReceived(c.conn.socket)
	for {
		seq, payload, size, err := mysql.ParsePacket(c.conn.received.Bytes())
		if err != nil {
			return c.failProtocol(ctx, 1, mysql.CodeTooLarge, err)
		}
		if size == 0 {
			return nil
		}
		if c.loggedIn {
			err = c.handleCommand(ctx, seq, payload, sentAt)
		} else {
			err = c.login(ctx, seq, payload)
		}
		c.conn.received.Discard(size)
		if err != nil {
			return err
		}
	}
}

// updateReadTimeout sets the time by which more must come. It runs on until the login, or a message that
// has begun, is complete, however slowly more comes.
func (c *client) updateReadTimeout() error {
	partial := c.conn.received.Len() > 0
	if !c.loggedIn || partial && c.partialMessage {
		return nil
	}
	c.partialMessage = partial
	if partial {
		c.readTimeout = partialMessageTimeout
	} else {
		c.readTimeout = c.server.maxClientTimeout() + clientIdleMargin
	}
	return c.setReadTimeout(c.readTimeout)
}

// halfClosed has the last answers sent before the connection ends, as a client that writes nothing more may
// still read.
func (c *client) halfClosed(ctx context.Context, err error) error {
	c.server.post(ctx, func() {
		c.server.apply(broker.SessionHalfClosed{Session: c.id})
		c.conn.closeAfterSent(&endError{Reason: PeerClosed})
	})
	<-ctx.Done()
	return err
}

// failProtocol answers what can't be read and ends the connection, as nothing after it can be read.
func (c *client) failProtocol(ctx context.Context, seq byte, code int, err error) error {
	if _, full := c.conn.write(mysql.AppendError(nil, seq, code, err.Error())); full != nil {
		return full
	}
	sent := make(chan struct{})
	c.conn.afterSent(func() { close(sent) })
	select {
	case <-sent:
	case <-ctx.Done():
		return err
	}
	if lingerErr := c.linger(); lingerErr != nil && !isTimeout(lingerErr) {
		return errors.Join(err, lingerErr)
	}
	return err
}

// linger reads on for a while so that the client can read its last answer: a close with bytes unread would
// reset the connection, and could destroy that answer on its way.
func (c *client) linger() error {
	if err := c.conn.socket.SetReadDeadline(time.Now().Add(lingerDuration)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, c.conn.socket, maxLingerBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
