// Package netconn has the buffered connection that clients, engines and the change log are served on: a receive
// buffer, a queue of bytes to send that can be withdrawn, a close that lets the last answer arrive, and the reasons
// why connections end. Each connection has one goroutine that reads and one that writes; both end with the context
// of Run.
package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/ring"
	"wheatlane/internal/transient"
)

const (
	// writeTimeout bounds a single write on a connection without a maximum send delay. Bytes that waited in the
	// queue are still written: after a standstill of this process a late answer is better than none.
	writeTimeout = 5 * time.Second
	// bufferRetryDelay is the pause after a write for which the system had no buffers.
	bufferRetryDelay = 5 * time.Millisecond
)

// Options are the limits of a connection.
type Options struct {
	MaxReceiveBytes int           // received and not consumed yet
	MaxSendBytes    int           // queued and not accepted by the system yet
	MaxSendDelay    time.Duration // bytes queued for longer never leave, the connection ends; 0: any may leave
	// LateAfter is how long after its expiry a write that still leaves counts as late.
	LateAfter time.Duration
	// OnExpired is called, on the goroutine that writes and under the queue's lock, when a write has expired or
	// left late; nil: nobody is notified.
	OnExpired func()
	Now       func() time.Time // the clock of the send queue; nil: time.Now
}

// Conn is a connection with a buffer for what was received and a queue of what is to be sent.
type Conn struct {
	// Received holds what was read and not consumed. It belongs to the goroutine that reads.
	Received *ring.Buffer
	SendQueue
	socket       net.Conn
	maxSendDelay time.Duration // 0: any bytes may leave
}

// New returns a connection on a socket. Run owns its goroutines.
func New(socket net.Conn, options Options) *Conn {
	return &Conn{
		socket: socket, maxSendDelay: options.MaxSendDelay,
		Received: ring.New(options.MaxReceiveBytes), SendQueue: newSendQueue(options),
	}
}

// Socket returns the socket of the connection.
func (c *Conn) Socket() net.Conn { return c.socket }

// ReadOnce appends to Received what one read of the socket gives. A full buffer is ring.ErrFull.
func (c *Conn) ReadOnce() error {
	_, err := c.Received.ReadOnce(c.socket)
	return err
}

// SetReadDeadline sets when reads fail with an error that IsTimeout reports; the zero time removes the deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error { return c.socket.SetReadDeadline(deadline) }

// Run reads and writes until either ends or ctx does, closes the socket and returns why; ReasonOf gives the reason of
// the error. read is called once, on a goroutine of its own.
func (c *Conn) Run(ctx context.Context, read func(context.Context) error) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, c.closeSocket)
	defer stop()
	g.Go(func() error {
		if err := read(ctx); err != nil {
			return err
		}
		return &EndError{Reason: PeerClosed}
	})
	g.Go(func() error { return c.writeLoop(ctx) })
	err := g.Wait()
	c.closeSocket()
	if ended := c.ShutDownReason(); ended != nil { // even if the peer closed first, once it had got all
		return ended
	}
	return err
}

// closeSocket closes the socket.
func (c *Conn) closeSocket() {
	_ = c.socket.Close() // the reason for the end is known already, and nothing is left to be flushed
}

// writeLoop sends what is queued, until the connection ends.
func (c *Conn) writeLoop(ctx context.Context) error {
	conn, ok := c.socket.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no socket", c.socket)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wakeup:
		}
		if err := c.flush(raw); err != nil {
			return err
		}
		if reason := c.beginShutDown(); reason != nil {
			if c.mustLinger(raw, reason.Reason) {
				Linger(c.socket)
			}
			return reason
		}
	}
}

// mustLinger reports whether the last answer could be destroyed by the close. The place of an evicted client is
// wanted at once: it is given time only if it has just been answered and has sent more since.
func (c *Conn) mustLinger(raw syscall.RawConn, reason Reason) bool {
	if reason != EvictedIdle {
		return true
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { unread = peekPeer(int(fd)) == peerUnread }) // fails on one that has closed
	return unread && c.wroteWithin(lingerDuration)
}

// flush writes until nothing is left. It waits for the socket outside of the calls that write, so that
// bytes that the system does not take can still be withdrawn, and are known never to have left.
func (c *Conn) flush(raw syscall.RawConn) error {
	for {
		deadline, ok := c.nextDeadline()
		c.MarkSent(0) // runs due hooks: those that only waited for withdrawn bytes
		if !ok {
			return nil
		}
		if err := c.socket.SetWriteDeadline(deadline); err != nil {
			return err
		}
		failed, err := c.writeReady(raw)
		switch {
		case transient.IsBuffer(failed) && time.Now().Before(deadline):
			time.Sleep(bufferRetryDelay)
		case failed != nil:
			return failed
		case err != nil && !IsTimeout(err):
			return err
		case err != nil && c.overdue():
			return &EndError{WriteTimeout, err}
		}
	}
}

// writeReady writes until nothing is left or the write deadline passes. The first error is that of a write,
// the second that of waiting for the socket.
func (c *Conn) writeReady(raw syscall.RawConn) (failed, waited error) {
	waited = raw.Write(func(fd uintptr) (done bool) {
		for {
			next := c.NextBytes()
			if len(next) == 0 {
				return true
			}
			n, err := syscall.Write(int(fd), next)
			c.MarkSent(max(n, 0))
			switch {
			case errors.Is(err, syscall.EAGAIN):
				return false
			case err != nil && !errors.Is(err, syscall.EINTR):
				failed = os.NewSyscallError("write", err)
				return true
			}
		}
	})
	return failed, waited
}

// nextDeadline returns when the bytes that are next to be sent must have left; false if nothing is left.
func (c *Conn) nextDeadline() (deadline time.Time, ok bool) {
	queuedAt, ok := c.oldestWrite()
	switch {
	case !ok:
		return time.Time{}, false
	case c.maxSendDelay > 0:
		return queuedAt.Add(c.maxSendDelay), true
	}
	return time.Now().Add(writeTimeout), true
}

// overdue reports, after a write deadline has passed, whether the connection is to end for it. Where the
// deadline is that of single writes, the oldest may have been withdrawn meanwhile, and those behind it have
// more time.
func (c *Conn) overdue() bool {
	deadline, ok := c.nextDeadline()
	return c.maxSendDelay == 0 || ok && !time.Now().Before(deadline)
}
