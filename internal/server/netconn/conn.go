// Package netconn provides the buffered connections to clients, engines and the change log: a receive buffer, a send
// queue whose writes can be withdrawn, a close after which the last reply still arrives, and the reasons for which
// connections end. Each connection has one goroutine that reads and one that writes; both end with the context of Run.
package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wheatlane/internal/ring"
	"wheatlane/internal/transient"
)

const (
	// writeTimeout bounds a single write on a connection without a maximum send delay. Bytes that waited in the queue
	// for longer are still written: after a process pause, a late reply is better than none.
	writeTimeout = 5 * time.Second
	// bufferRetryDelay is the pause after a write for which the system had no buffers.
	bufferRetryDelay = 5 * time.Millisecond
)

// Options configure a connection.
type Options struct {
	MaxReceiveBytes int           // bytes received and not consumed yet
	MaxSendBytes    int           // bytes queued and not accepted by the operating system yet
	MaxSendDelay    time.Duration // the connection ends instead of sending bytes queued for longer; 0: no limit
	// LateAfter is the time after its expiry from which a write that is still sent counts as late.
	LateAfter time.Duration
	// OnExpired is called, on the goroutine that writes and under the queue's lock, when a write has expired or was sent
	// late. It may be nil.
	OnExpired func()
	// WriteThrough makes Write pass bytes to the system at once if none are queued. On such a connection writes cannot be
	// withdrawn and do not expire.
	WriteThrough bool
	Now          func() time.Time // the clock of the send queue; nil: time.Now
	// UnsentMemory counts the memory of the send queues that share it, in bytes. It may be nil.
	UnsentMemory *atomic.Int64
}

// Conn is a connection with a receive buffer and a send queue.
type Conn struct {
	// Received holds bytes that were read and not consumed yet. It belongs to the goroutine that reads.
	Received *ring.Buffer
	SendQueue
	socket       net.Conn
	maxSendDelay time.Duration // 0: no limit
	writeThrough bool
	aborted      atomic.Pointer[EndError]
}

// New returns a connection on a socket. Its goroutines run during Run.
func New(socket net.Conn, options Options) *Conn {
	return &Conn{
		socket: socket, maxSendDelay: options.MaxSendDelay, writeThrough: options.WriteThrough,
		Received: ring.New(options.MaxReceiveBytes), SendQueue: newSendQueue(options),
	}
}

// Socket returns the socket of the connection.
func (c *Conn) Socket() net.Conn { return c.socket }

// ReadOnce appends the bytes of one read of the socket to Received. It returns ring.ErrFull if the buffer is full.
func (c *Conn) ReadOnce() error {
	_, err := c.Received.ReadOnce(c.socket)
	return err
}

// SetReadDeadline sets the time after which reads fail with an error for which IsTimeout returns true. The zero time
// removes the deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error { return c.socket.SetReadDeadline(deadline) }

// Abort ends the connection immediately, without sending the queued bytes. Only the reason of the first call is stored.
func (c *Conn) Abort(reason *EndError) {
	c.aborted.CompareAndSwap(nil, reason)
	c.closeSocket()
}

// Run reads and writes until one of these ends or ctx is done, and closes the socket. It returns the error that ended
// the connection; ReasonOf returns its reason. read is called once, on the calling goroutine.
func (c *Conn) Run(ctx context.Context, read func(context.Context) error) error {
	raw, err := c.rawSocket()
	if err != nil {
		c.closeSocket()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, c.closeSocket)
	defer stop()
	end := connEnd{cancel: cancel}
	c.startWriter(func() (ended bool) {
		err := c.writeQueued(raw)
		end.record(err)
		return err != nil
	}, c.directWrite(raw))
	end.record(c.readToEnd(ctx, read))
	c.stopWriter()
	c.closeSocket()
	if reason := c.aborted.Load(); reason != nil {
		return reason
	}
	if ended := c.ShutDownReason(); ended != nil { // also if the peer closed first after it received all bytes
		return ended
	}
	return end.err
}

// readToEnd calls read and returns the reason for which it ended.
func (c *Conn) readToEnd(ctx context.Context, read func(context.Context) error) error {
	if err := read(ctx); err != nil {
		return err
	}
	return &EndError{Reason: PeerClosed}
}

// connEnd is the end of a connection: the first error of its reader and its writer.
type connEnd struct {
	once   sync.Once
	cancel context.CancelFunc // ends the other one of reader and writer
	err    error              // set by record; readable once both have ended
}

// record ends the connection with an error. Only the first one counts; nil has no effect.
func (e *connEnd) record(err error) {
	if err != nil {
		e.once.Do(func() {
			e.err = err
			e.cancel()
		})
	}
}

// closeSocket closes the socket.
func (c *Conn) closeSocket() {
	_ = c.socket.Close() // the reason for the end is already recorded, and nothing remains to be flushed
}

// rawSocket returns the socket for direct system calls.
func (c *Conn) rawSocket() (syscall.RawConn, error) {
	conn, ok := c.socket.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("start writing: connection of type %T does not implement syscall.Conn", c.socket)
	}
	return conn.SyscallConn()
}

// writeQueued sends the queued bytes. If the end of the connection was requested, it returns the reason for it, after
// all bytes were sent.
func (c *Conn) writeQueued(raw syscall.RawConn) error {
	if err := c.flush(raw); err != nil {
		return err
	}
	if reason := c.beginShutDown(); reason != nil {
		if c.mustLinger(raw, reason.Reason) {
			Linger(c.socket)
		}
		return reason
	}
	return nil
}

// directWrite returns a function that writes to the socket without waiting; nil if the connection does not write
// through. Errors are left to the writer, which meets them again.
func (c *Conn) directWrite(raw syscall.RawConn) func(p []byte) int {
	if !c.writeThrough {
		return nil
	}
	return func(p []byte) (written int) {
		_ = raw.Control(func(fd uintptr) { // fails only if the socket has closed
			for written < len(p) {
				n, err := syscall.Write(int(fd), p[written:])
				if err != nil && !errors.Is(err, syscall.EINTR) {
					return
				}
				written += max(n, 0)
			}
		})
		return written
	}
}

// mustLinger reports whether the close could destroy the last reply on its way to the peer. The slot of an evicted
// client is needed immediately: such a connection lingers only if a reply was queued recently and the client has sent
// more bytes since.
func (c *Conn) mustLinger(raw syscall.RawConn, reason Reason) bool {
	if reason != EvictedIdle {
		return true
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { unread = peekPeer(int(fd)) == peerUnread }) // fails only if it has closed
	return unread && c.queuedWithin(lingerDuration)
}

// flush writes until the queue is empty. It waits for the socket outside of the write calls, so that bytes that the
// operating system has not accepted can still be withdrawn and are certain to be unsent.
func (c *Conn) flush(raw syscall.RawConn) error {
	for {
		deadline, ok := c.nextDeadline()
		c.MarkSent(0) // calls the hooks that only waited for withdrawn bytes
		if !ok {
			return nil
		}
		if err := c.socket.SetWriteDeadline(deadline); err != nil {
			return err
		}
		writeErr, waitErr := c.writeReady(raw)
		switch {
		case transient.IsOutOfBuffers(writeErr) && time.Now().Before(deadline):
			time.Sleep(bufferRetryDelay)
		case writeErr != nil:
			return writeErr
		case waitErr != nil && !IsTimeout(waitErr):
			return waitErr
		case waitErr != nil && c.deadlineExceeded():
			return &EndError{WriteTimeout, waitErr}
		}
	}
}

// writeReady writes until the queue is empty or the write deadline passes. It returns separate errors of the write
// call and of waiting for the socket.
func (c *Conn) writeReady(raw syscall.RawConn) (writeErr, waitErr error) {
	waitErr = raw.Write(func(fd uintptr) (done bool) {
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
				writeErr = os.NewSyscallError("write", err)
				return true
			}
		}
	})
	return writeErr, waitErr
}

// nextDeadline returns the time by which the next bytes must have been sent. ok is false if the queue is empty.
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

// deadlineExceeded reports, after a write deadline has passed, whether the connection must end. With a maximum send
// delay, the oldest write may have been withdrawn in the meantime, and the writes behind it have later deadlines.
func (c *Conn) deadlineExceeded() bool {
	deadline, ok := c.nextDeadline()
	return c.maxSendDelay == 0 || ok && !time.Now().Before(deadline)
}
